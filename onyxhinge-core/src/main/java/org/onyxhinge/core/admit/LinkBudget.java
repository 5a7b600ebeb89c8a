package org.onyxhinge.core.admit;

/**
 * Determines whether a VM's own link has bandwidth left for further requests: a token bucket of bytes for each
 * direction, from which everything is taken that the link carries.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class LinkBudget {

    /**
     * The rest is left to the headers of TCP and IP, and to the responses of requests that have been accepted before
     * the link was full.
     */
    static final double USABLE_FRACTION = 0.6;

    /** Capacity of a bucket: time for which the link may carry more than its usable part. */
    static final long BURST_MS = 250;

    /**
     * Part of a bucket that must be filled before a full link has room again. Callers that connect just as the router
     * stops listening use the link for nothing, so that is not to happen often.
     */
    static final double REOPEN_FRACTION = 0.5;

    /** Time after which a link that was far too busy is usable again at the latest. */
    static final long MAX_DEBT_MS = 1_000;

    private static final double MS_PER_SECOND = 1_000;

    private final double bytesPerMs;
    private final Direction received = new Direction();
    private final Direction sent = new Direction();
    private long updatedAtMs = Long.MIN_VALUE;
    private boolean full;

    /** One direction: its total at the last update and the bytes left in its bucket. */
    private final class Direction {
        private long totalBytes;
        private double leftBytes;

        private void update(long newTotalBytes, double refillBytes) {
            double left = Math.min(bytesPerMs * BURST_MS, leftBytes + refillBytes) - (newTotalBytes - totalBytes);
            leftBytes = Math.max(-bytesPerMs * MAX_DEBT_MS, left);
            totalBytes = newTotalBytes;
        }
    }

    private LinkBudget(long linkBytesPerSecond) {
        this.bytesPerMs = USABLE_FRACTION * linkBytesPerSecond / MS_PER_SECOND;
    }

    /**
     * Creates the budget of a link that has carried nothing yet.
     *
     * @param linkBytesPerSecond rate of the link in each direction; 0 if unknown, which counts as unlimited
     */
    public static LinkBudget create(long linkBytesPerSecond) {
        return new LinkBudget(linkBytesPerSecond);
    }

    /**
     * Returns whether the link has no bandwidth left in one direction.
     *
     * @param receivedBytes bytes received since the start
     * @param sentBytes bytes sent since the start
     * @param expectedBytes bytes that are probably on their way to this VM; what waits for a congested link is not
     *     seen otherwise
     */
    public boolean isFull(long receivedBytes, long sentBytes, long expectedBytes, long nowMs) {
        if (bytesPerMs == 0) {
            return false;
        }
        double refillBytes = updatedAtMs == Long.MIN_VALUE ? bytesPerMs * BURST_MS : (nowMs - updatedAtMs) * bytesPerMs;
        received.update(receivedBytes, refillBytes);
        sent.update(sentBytes, refillBytes);
        updatedAtMs = nowMs;
        double leftBytes = Math.min(received.leftBytes - expectedBytes, sent.leftBytes);
        full = leftBytes <= (full ? REOPEN_FRACTION * bytesPerMs * BURST_MS : 0);
        return full;
    }
}
