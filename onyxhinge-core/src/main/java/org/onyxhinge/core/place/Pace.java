package org.onyxhinge.core.place;

/**
 * How fast something lately was, smoothed. A target's own pace starts at its service's, so a new target
 * is neither flooded nor shunned.
 */
final class Pace {

    /** Weight of the newest sample: about the last seven decide, so a slowdown shows within seconds. */
    private static final double WEIGHT = 0.15;

    private final double startMs;
    private final Pace parent;
    private double valueMs = -1;

    private Pace(double startMs, Pace parent) {
        this.startMs = startMs;
        this.parent = parent;
    }

    static Pace startingAt(double startMs) {
        return new Pace(startMs, null);
    }

    Pace child() {
        return new Pace(startMs, this);
    }

    void sample(double ms) {
        double before = valueMs();
        valueMs = before + WEIGHT * (ms - before);
        if (parent != null) {
            parent.sample(ms);
        }
    }

    double valueMs() {
        if (valueMs >= 0) {
            return valueMs;
        }
        return parent == null ? startMs : parent.valueMs();
    }
}
