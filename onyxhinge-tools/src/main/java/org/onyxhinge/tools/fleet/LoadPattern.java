package org.onyxhinge.tools.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** How a site's load and engines change over a run: what the users' heaviest days are made of. */
enum LoadPattern {
    /** The usual load all along. */
    STEADY(List.of(), 0),
    /** Two bursts of all requests, of the users' strengths: 1.5 times for 5 s, 2.1 times for 2.5 s. */
    BURST(List.of(new Surge(6_000, 5_000, 1.5, Who.ALL), new Surge(16_000, 2_500, 2.1, Who.ALL)), 0),
    /** One workspace sends seven times its usual for 8 s. */
    HOT_WORKSPACE(List.of(new Surge(6_000, 8_000, 7, Who.LAST_WORKSPACE)), 0),
    /** The users' heaviest: 1.2 times the usual all day, a burst of 1.5 times, then a hot workspace beside another. */
    HEAVIEST(
            List.of(
                    new Surge(0, 26_000, 1.2, Who.ALL),
                    new Surge(3_500, 5_000, 1.5, Who.ALL),
                    new Surge(7_000, 11_000, 5, Who.LAST_WORKSPACE),
                    new Surge(13_500, 2_500, 2.1, Who.ALL)),
            0),
    /** A day that asks for more than the engines carry all along: 1.1 times the usual, and two bursts on top of it. */
    OVERLOAD(
            List.of(
                    new Surge(0, 26_000, 1.1, Who.ALL),
                    new Surge(7_000, 5_000, 1.7, Who.ALL),
                    new Surge(17_000, 2_500, 1.8, Who.ALL)),
            0),
    /** A burst of 1.5 times for 5 s while a quarter of the engines is lost for 4 s. */
    ENGINE_LOSS(List.of(new Surge(6_000, 5_000, 1.5, Who.ALL)), 0.25),
    /** A sixth of the engines name a limit of a few requests a second for 10 s, under the usual load and a burst. */
    LIMITED_ENGINES(List.of(new Surge(12_000, 4_000, 1.3, Who.ALL)), 0, 1.0 / 6);

    /** When engines are lost, in {@link #ENGINE_LOSS}, or name their limits, in {@link #LIMITED_ENGINES}. */
    static final double LOST_FROM_MS = 8_000;

    /** When they name none any more. */
    static final double LIMITED_UNTIL_MS = 18_000;

    /** What they name; the users' engines name 2 to 4. */
    static final double LIMIT_PER_SECOND = 2.4;

    /** When they are back. */
    static final double LOST_UNTIL_MS = 12_000;

    /** At a run's start the engines are empty and serve whatever comes; by now they have filled up. */
    static final double SETTLED_MS = 5_000;

    /** A run's length: long enough for the callers of the last surge to have come back. */
    static final double LENGTH_MS = 26_000;

    private final List<Surge> surges;
    private final double lostPart;
    private final double limitedPart;

    /** Whose requests a surge multiplies. */
    enum Who {
        ALL,
        LAST_WORKSPACE
    }

    /**
     * A time of more requests.
     *
     * @param fromMs its begin
     * @param forMs its length
     * @param factor requests against the usual
     * @param who whose
     */
    record Surge(double fromMs, double forMs, double factor, Who who) {

        boolean at(double ms) {
            return ms >= fromMs && ms < fromMs + forMs;
        }
    }

    LoadPattern(List<Surge> surges, double lostPart) {
        this(surges, lostPart, 0);
    }

    LoadPattern(List<Surge> surges, double lostPart, double limitedPart) {
        this.surges = surges;
        this.lostPart = lostPart;
        this.limitedPart = limitedPart;
    }

    /** Requests of a workspace at a time, against the usual. */
    double factor(double ms, boolean lastWorkspace) {
        double factor = 1;
        for (Surge s : surges) {
            factor *= s.at(ms) && (s.who() == Who.ALL || lastWorkspace) ? s.factor() : 1;
        }
        return factor;
    }

    /** Part of the engines that is lost for a while. */
    double lostPart() {
        return lostPart;
    }

    /** Part of the engines that name a limit for a while. */
    double limitedPart() {
        return limitedPart;
    }

    /** Its name on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Optional<LoadPattern> ofLabel(String label) {
        return Arrays.stream(values()).filter(p -> p.label().equals(label)).findFirst();
    }

    static List<String> labels() {
        return Arrays.stream(values()).map(LoadPattern::label).toList();
    }
}
