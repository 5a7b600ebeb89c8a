package org.onyxhinge.core.schedule;

/**
 * Knobs of the scheduler.
 *
 * @param policy how an engine is picked
 * @param queueLimitPerTier most requests one tier may queue per pool on one router
 * @param engineSilentMs how long an engine may go unheard before it is taken out of routing
 * @param minRetryAfterMs the smallest {@code Retry-After} the router tells a caller
 * @param recentPrefixes how many prefix hashes are remembered per engine
 * @param sendAttempts how many targets a request may be offered to before it is refused as unreachable;
 *     an offer counts only while no byte of the request has been sent
 * @param askAgainMs at least 1: how long an engine whose other routers had no lower-tier work is not asked again
 * @param headroomPercent how much room lower tiers leave for swings in higher ones, in percent of the
 *     square root of what those have running; 0 for none
 */
public record SchedulerSettings(
        RoutingPolicy policy,
        int queueLimitPerTier,
        long engineSilentMs,
        long minRetryAfterMs,
        int recentPrefixes,
        int sendAttempts,
        long askAgainMs,
        int headroomPercent) {

    /** Rejects an {@code askAgainMs} of 0, which would ask the same engine for ever. */
    public SchedulerSettings {
        if (askAgainMs < 1 || sendAttempts < 1) {
            throw new IllegalArgumentException("askAgainMs and sendAttempts must be at least 1");
        }
    }

    /** Defaults that suit the sample workloads. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(new RoutingPolicy.EarliestFirstToken(), 256, 3_000, 1_000, 512, 3, 200, 0);
    }
}
