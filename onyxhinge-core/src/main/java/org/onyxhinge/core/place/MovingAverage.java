package org.onyxhinge.core.place;

/**
 * Exponential moving average of a duration. The average of a target starts at that of its service, so that a new target
 * gets neither too many nor too few calls.
 */
final class MovingAverage {

    /** Weight of the newest sample. The average spans about seven samples, so a slowdown shows within seconds. */
    private static final double SMOOTHING_FACTOR = 0.15;

    private final double initialMs;
    private final MovingAverage parent;
    private double valueMs = -1;

    private MovingAverage(double initialMs, MovingAverage parent) {
        this.initialMs = initialMs;
        this.parent = parent;
    }

    static MovingAverage withInitialValue(double initialMs) {
        return new MovingAverage(initialMs, null);
    }

    MovingAverage child() {
        return new MovingAverage(initialMs, this);
    }

    void sample(double ms) {
        double before = valueMs();
        valueMs = before + SMOOTHING_FACTOR * (ms - before);
        if (parent != null) {
            parent.sample(ms);
        }
    }

    double valueMs() {
        if (valueMs >= 0) {
            return valueMs;
        }
        return parent == null ? initialMs : parent.valueMs();
    }
}
