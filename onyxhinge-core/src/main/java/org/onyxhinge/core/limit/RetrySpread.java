package org.onyxhinge.core.limit;

/**
 * Times for callers refused by a lowered quota, spread evenly over the window in which the quota becomes available.
 * Each time is the golden ratio of the window after the preceding one, which is even for any number of callers, so the
 * routers need not know of each other's.
 */
final class RetrySpread {

    private static final double GOLDEN_RATIO = 0.618033988749895;

    private final long windowMs;
    private double position;

    /**
     * Creates a sequence of times.
     *
     * @param start position of the first one in the window, 0 to 1; differs between routers
     */
    RetrySpread(long windowMs, double start) {
        this.windowMs = windowMs;
        this.position = start;
    }

    /** Returns the next delay, at least {@code earliestMs} and less than a window later. */
    long delayMs(long earliestMs) {
        position = (position + GOLDEN_RATIO) % 1;
        return earliestMs + (long) (position * windowMs);
    }
}
