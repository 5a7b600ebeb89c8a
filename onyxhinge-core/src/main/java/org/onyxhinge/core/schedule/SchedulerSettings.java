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
 */
public record SchedulerSettings(
        RoutingPolicy policy,
        int queueLimitPerTier,
        long engineSilentMs,
        long minRetryAfterMs,
        int recentPrefixes,
        int sendAttempts) {

    /** Defaults that suit the sample workloads. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(new RoutingPolicy.EarliestFirstToken(), 256, 3_000, 1_000, 512, 3);
    }

    /** The same knobs with another policy. */
    public SchedulerSettings withPolicy(RoutingPolicy other) {
        return new SchedulerSettings(
                other, queueLimitPerTier, engineSilentMs, minRetryAfterMs, recentPrefixes, sendAttempts);
    }
}
