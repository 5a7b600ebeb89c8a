package org.onyxhinge.core.place;

/** Event rate per second, exponentially smoothed over a few seconds. */
final class Rate {

    /** Time constant: long compared with the gaps between events, short compared with a burst. */
    private static final double TIME_CONSTANT_MS = 2_000;

    private static final double MS_PER_SECOND = 1_000;

    private double perMs;
    private long atMs;

    void event(long nowMs) {
        decay(nowMs);
        perMs += 1 / TIME_CONSTANT_MS;
    }

    double perSecond(long nowMs) {
        decay(nowMs);
        return perMs * MS_PER_SECOND;
    }

    private void decay(long nowMs) {
        if (nowMs > atMs) {
            perMs *= Math.exp(-(nowMs - atMs) / TIME_CONSTANT_MS);
            atMs = nowMs;
        }
    }
}
