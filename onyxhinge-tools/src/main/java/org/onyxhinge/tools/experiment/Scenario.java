package org.onyxhinge.tools.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Load pattern or disturbance during a run of the experiment tool, in addition to the offered load. */
public enum Scenario {
    /** Constant mean arrival rate. */
    STEADY,
    /** Three times the arrival rate during the middle fifth of the run. */
    BURST,
    /**
     * The first engine of the deployment, which should be its fastest, runs four times slower, unannounced, in the
     * middle third of the run.
     */
    SLOWDOWN;

    private static final double BURST_FACTOR = 3.0;
    private static final double BURST_START = 0.4;
    private static final double BURST_END = 0.6;

    /** Fraction of the run at which the slowdown starts. */
    public static final double SLOWDOWN_START = 1.0 / 3;
    /** Fraction of the run at which the slowdown ends. */
    public static final double SLOWDOWN_END = 2.0 / 3;
    /** Factor by which the engine is slowed down. */
    public static final double SLOWDOWN_FACTOR = 4.0;

    double rateFactorAt(double progress) {
        return this == BURST && progress >= BURST_START && progress < BURST_END ? BURST_FACTOR : 1.0;
    }

    /** Returns the name used on the command line and in reports. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Returns the scenario with the given label, or empty. */
    public static Optional<Scenario> ofLabel(String label) {
        return Arrays.stream(values()).filter(s -> s.label().equals(label)).findFirst();
    }

    /** Returns all labels, for error messages. */
    public static List<String> labels() {
        return Arrays.stream(values()).map(Scenario::label).toList();
    }
}
