package org.onyxhinge.tools.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;

/** How load and engine availability change during a run, modelled on the users' heaviest days. */
enum LoadPattern {
    /** Constant normal load. */
    STEADY(List.of(), 0),
    /** Two bursts of all requests as strong as the users': 1.5 times the normal load for 5 s, 2.1 times for 2.5 s. */
    BURST(List.of(new Surge(6_000, 5_000, 1.5, Who.ALL), new Surge(16_000, 2_500, 2.1, Who.ALL)), 0),
    /** One workspace sends seven times its normal load for 8 s. */
    HOT_WORKSPACE(List.of(new Surge(6_000, 8_000, 7, Who.LAST_WORKSPACE)), 0),
    /**
     * The users' heaviest load: 1.2 times normal throughout, a burst of 1.5 times, then a hot workspace that overlaps
     * with a second burst.
     */
    HEAVIEST(
            List.of(
                    new Surge(0, 26_000, 1.2, Who.ALL),
                    new Surge(3_500, 5_000, 1.5, Who.ALL),
                    new Surge(7_000, 11_000, 5, Who.LAST_WORKSPACE),
                    new Surge(13_500, 2_500, 2.1, Who.ALL)),
            0),
    /** Load above the engines' capacity throughout: 1.1 times normal, with two bursts on top. */
    OVERLOAD(
            List.of(
                    new Surge(0, 26_000, 1.1, Who.ALL),
                    new Surge(7_000, 5_000, 1.7, Who.ALL),
                    new Surge(17_000, 2_500, 1.8, Who.ALL)),
            0),
    /** A burst of 1.5 times normal load for 5 s while a quarter of the engines is down for 4 s. */
    ENGINE_LOSS(List.of(new Surge(6_000, 5_000, 1.5, Who.ALL)), 0.25),
    /** A sixth of the engines advertise a limit of a few requests per second for 10 s, at normal load and a burst. */
    LIMITED_ENGINES(List.of(new Surge(12_000, 4_000, 1.3, Who.ALL)), 0, 1.0 / 6),
    /**
     * For 10 s a load balancer hands most first attempts to one router; retries reach any router as usual.
     */
    ONE_ROUTER(List.of(), 0),
    /** Like {@link #ONE_ROUTER}, with one router of each data centre. */
    ONE_ROUTER_PER_DATA_CENTRE(List.of(), 0),
    /** Like {@link #ONE_ROUTER}, and another data centre's router takes the first one's place after 5 s. */
    NEXT_ROUTER(List.of(), 0);

    /** When engines crash in {@link #ENGINE_LOSS}, or begin to advertise limits in {@link #LIMITED_ENGINES}. */
    static final double FAULT_START_MS = 8_000;

    /** When engines stop advertising limits, and when first attempts reach any router again. */
    static final double LIMIT_END_MS = 18_000;

    /** When {@link #NEXT_ROUTER} moves to the next router. */
    private static final double MOVE_MS = 13_000;

    /** Part of the first attempts that reach few routers in the patterns that concentrate them. */
    private static final double CONCENTRATED_FRACTION = 0.9;

    /** The advertised limit; the users' engines advertise 2 to 4. */
    static final double LIMIT_PER_SECOND = 2.4;

    /** When crashed engines recover. */
    static final double LOSS_END_MS = 12_000;

    /** End of the warm-up: a run starts with idle engines that serve every request; by this time they are busy. */
    static final double WARM_UP_MS = 5_000;

    /** Duration of a run: long enough for callers refused during the last surge to have retried. */
    static final double DURATION_MS = 26_000;

    private final List<Surge> surges;
    private final double lostFraction;
    private final double limitedFraction;

    /** The workspaces whose requests a surge multiplies. */
    enum Who {
        ALL,
        LAST_WORKSPACE
    }

    /**
     * A period of increased load.
     *
     * @param startMs start time
     * @param durationMs duration
     * @param factor request rate relative to the normal rate
     * @param scope workspaces affected
     */
    record Surge(double startMs, double durationMs, double factor, Who scope) {

        boolean isActiveAt(double ms) {
            return ms >= startMs && ms < startMs + durationMs;
        }
    }

    LoadPattern(List<Surge> surges, double lostFraction) {
        this(surges, lostFraction, 0);
    }

    LoadPattern(List<Surge> surges, double lostFraction, double limitedFraction) {
        this.surges = surges;
        this.lostFraction = lostFraction;
        this.limitedFraction = limitedFraction;
    }

    /** Returns the request rate of a workspace at a given time, relative to its normal rate. */
    double factor(double ms, boolean lastWorkspace) {
        double factor = 1;
        for (Surge s : surges) {
            factor *= s.isActiveAt(ms) && (s.scope() == Who.ALL || lastWorkspace) ? s.factor() : 1;
        }
        return factor;
    }

    /** Returns the fraction of the first attempts at a given time that all reach few routers. */
    double concentratedFraction(double ms) {
        return switch (this) {
            case ONE_ROUTER, ONE_ROUTER_PER_DATA_CENTRE, NEXT_ROUTER ->
                ms >= FAULT_START_MS && ms < LIMIT_END_MS ? CONCENTRATED_FRACTION : 0;
            default -> 0;
        };
    }

    /**
     * Returns the index of the router that such a first attempt reaches. Routers with successive indexes are in
     * successive data centres.
     */
    int concentratedRouter(double ms, int dataCentres, SplittableRandom random) {
        return switch (this) {
            case ONE_ROUTER_PER_DATA_CENTRE -> random.nextInt(dataCentres);
            case NEXT_ROUTER -> ms < MOVE_MS ? 0 : 1;
            default -> 0;
        };
    }

    /** Returns the fraction of the engines that crash temporarily. */
    double lostFraction() {
        return lostFraction;
    }

    /** Returns the fraction of the engines that advertise a limit temporarily. */
    double limitedFraction() {
        return limitedFraction;
    }

    /** Returns the pattern's name on the command line. */
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
