package org.onyxhinge.core.schedule;

/**
 * Knobs of the scheduler.
 *
 * @param queueLimitPerTier most requests one tier may queue per pool on one router
 * @param engineSilentMs how long an engine may go unheard before it is taken out of routing
 * @param minRetryAfterMs the smallest {@code Retry-After} the router tells a caller
 * @param recentPrefixes how many prefix hashes are remembered per engine
 */
public record SchedulerSettings(int queueLimitPerTier, long engineSilentMs, long minRetryAfterMs, int recentPrefixes) {

    /** Defaults that suit the sample workloads. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(256, 3_000, 1_000, 512);
    }
}
