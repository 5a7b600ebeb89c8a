package org.onyxhinge.core.limit;

/**
 * A token bucket that begins empty, so that who takes it over from another cannot spend what that one has spent.
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

    /** Creates an empty bucket that fills at a rate, up to a number of tokens. */
    public static TokenBucket filling(double perSecond, double capacity, long nowMs) {
        return new TokenBucket(perSecond, capacity, nowMs);
    }

    /** Whole tokens in it. */
    public int tokens(long nowMs) {
        fill(nowMs);
        return (int) tokens;
    }

    /** Takes a token; what lacks of a whole one is owed. */
    public void take(long nowMs) {
        fill(nowMs);
        tokens--;
    }

    private void fill(long nowMs) {
        tokens = Math.min(capacity, tokens + (nowMs - filledAtMs) * perSecond / MS_PER_SECOND);
        filledAtMs = nowMs;
    }
}
