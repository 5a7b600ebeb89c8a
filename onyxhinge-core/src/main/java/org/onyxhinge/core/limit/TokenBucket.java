package org.onyxhinge.core.limit;

/**
 * A token bucket that starts empty, so that a new owner cannot spend again what its predecessor has spent.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class TokenBucket {

    private static final double MS_PER_SECOND = 1_000;

    private final double perSecond;
    private final double capacity;
    private double tokens;
    private long filledAtMs;

    private TokenBucket(double perSecond, double capacity, long nowMs) {
        this.perSecond = perSecond;
        this.capacity = capacity;
        this.filledAtMs = nowMs;
    }

    /** Creates an empty bucket with a refill rate and a capacity. */
    public static TokenBucket startingEmpty(double perSecond, double capacity, long nowMs) {
        return new TokenBucket(perSecond, capacity, nowMs);
    }

    /** Number of whole tokens available. */
    public int tokens(long nowMs) {
        fill(nowMs);
        return (int) tokens;
    }

    /** Takes a token; the level may go below zero, and the deficit is refilled first. */
    public void take(long nowMs) {
        fill(nowMs);
        tokens--;
    }

    private void fill(long nowMs) {
        tokens = Math.min(capacity, tokens + (nowMs - filledAtMs) * perSecond / MS_PER_SECOND);
        filledAtMs = nowMs;
    }
}
