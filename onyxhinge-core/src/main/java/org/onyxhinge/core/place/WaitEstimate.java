package org.onyxhinge.core.place;

/**
 * Expected wait of a call for a slot, and the values it was computed from.
 *
 * @param waitMs the expected wait
 * @param ahead calls that precede it, here and at the peers
 * @param freedPerSecond slots freed per second, for all routers
 * @param urgentPerSecond calls arriving per second at all routers that would precede it
 */
public record WaitEstimate(long waitMs, int ahead, double freedPerSecond, double urgentPerSecond) {

    private static final double MS_PER_SECOND = 1_000;

    /** Minimum fraction of the freed slots assumed to remain for a rank, so that the estimate stays finite. */
    private static final double MIN_REMAINING_FRACTION = 0.05;

    /**
     * Creates an estimate.
     *
     * @param refusedForMs time until a target accepts calls
     */
    static WaitEstimate of(long refusedForMs, int ahead, double freedPerSecond, double urgentPerSecond) {
        double left = Math.max(freedPerSecond - urgentPerSecond, freedPerSecond * MIN_REMAINING_FRACTION);
        long queueMs = (long) ((ahead + 1) / left * MS_PER_SECOND);
        return new WaitEstimate(refusedForMs + queueMs, ahead, freedPerSecond, urgentPerSecond);
    }
}
