package org.onyxhinge.tools.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** What happens to a site during one run of the experiment tool, beside its offered load. */
public enum Scenario {
    /** Load at a constant mean rate. */
    STEADY,
    /** Three times the rate during the middle fifth of the run. */
    BURST,
    /** The fastest engine of the site is four times slower, unannounced, in the middle third. */
    SLOWDOWN;

    private static final double BURST_FACTOR = 3.0;
    private static final double BURST_FROM = 0.4;
    private static final double BURST_TO = 0.6;

    /** The share of a run after which a slowdown starts. */
    public static final double SLOW_FROM = 1.0 / 3;
    /** The share of a run after which a slowdown ends. */
    public static final double SLOW_TO = 2.0 / 3;
    /** How many times slower the slowed engine is. */
    public static final double SLOW_FACTOR = 4.0;

    double rateFactorAt(double share) {
        return this == BURST && share >= BURST_FROM && share < BURST_TO ? BURST_FACTOR : 1.0;
    }

    /** The name used on the command line and in reports. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** The scenario with this label, or empty. */
    public static Optional<Scenario> ofLabel(String label) {
        return Arrays.stream(values()).filter(s -> s.label().equals(label)).findFirst();
    }

    /** Every label, for messages. */
    public static List<String> labels() {
        return Arrays.stream(values()).map(Scenario::label).toList();
    }
}
