package org.onyxhinge.core.schedule;

/**
 * Settings of the scheduler.
 *
 * @param policy routing policy
 * @param queueLimitPerTier maximum queued requests per tier and pool on one router
 * @param engineSilentMs time without a report after which an engine is excluded from routing
 * @param minRetryAfterMs minimum {@code Retry-After} returned to callers
 * @param recentPrefixes number of recent prefix hashes kept per engine
 * @param sendAttempts maximum number of targets a request is offered to before it is refused as unreachable; an attempt
 *     counts only while no byte of the request has been sent
 * @param askAgainMs at least 1: how long an engine is not asked again after its other routers had no lower-tier work
 * @param headroomPercent headroom that lower tiers leave for fluctuations in higher ones, in percent of the square root
 *     of the number of their running requests; 0 for none
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

    /** Rejects an {@code askAgainMs} of 0, with which the same engine would be asked in an endless loop. */
    public SchedulerSettings {
        if (askAgainMs < 1 || sendAttempts < 1) {
            throw new IllegalArgumentException("askAgainMs and sendAttempts must be at least 1");
        }
    }

    /** Defaults suited to the sample workloads. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(new RoutingPolicy.EarliestFirstToken(), 256, 3_000, 1_000, 512, 3, 200, 0);
    }
}
