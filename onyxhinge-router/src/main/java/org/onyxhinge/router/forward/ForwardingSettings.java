package org.onyxhinge.router.forward;

import org.onyxhinge.runtime.server.ServerCapacity;

/**
 * Startup settings of a forwarding router.
 *
 * @param routerId unique id of this router
 * @param dataCentre data centre it runs in
 * @param host address that callers connect to
 * @param port port that callers connect to
 * @param peerHost address that other routers connect to
 * @param peerPort port that other routers connect to
 * @param retryRatio share of a service's requests that may be retried at another target
 * @param retryAllowance retries per window allowed in addition to the ratio, over all routers
 * @param retryWindowMs window of the ratio and the allowance
 * @param keyProofMs how long API keys are trusted after the store last confirmed the configuration; 0 for no limit
 * @param quotaWindowMs window in which a workspace may use its rate times the window plus its burst
 * @param quotaToleranceRatio fraction of that quota by which operators tolerate it to be exceeded
 * @param quotaToleranceUnits units tolerated in addition to that fraction
 * @param rollouts settings of rollouts
 * @param graceMs time from the shutdown signal until the process is killed
 * @param leavingHoldMs how long a target that has announced its shutdown gets no calls, for targets that may start
 *     again under the same id; 0 if every start is registered as a new target
 * @param linkBytesPerSecond rate of the VM's link in each direction; 0 if unknown
 * @param bodyMemoryBytes memory for the bodies of all calls together
 * @param callers what the connections of all callers may take together
 * @param contention settings for callers that compete for too few slots
 */
public record ForwardingSettings(
        String routerId,
        String dataCentre,
        String host,
        int port,
        String peerHost,
        int peerPort,
        double retryRatio,
        double retryAllowance,
        long retryWindowMs,
        long keyProofMs,
        long quotaWindowMs,
        double quotaToleranceRatio,
        long quotaToleranceUnits,
        RolloutSettings rollouts,
        long graceMs,
        long leavingHoldMs,
        long linkBytesPerSecond,
        long bodyMemoryBytes,
        ServerCapacity callers,
        ContentionSettings contention) {

    /** Percentage of the heap for the bodies of all calls, unless set otherwise; they are copied while they grow. */
    public static final int DEFAULT_BODY_MEMORY_PERCENT = 40;

    /** Returns a percentage of this process's heap in bytes. */
    public static long heapBytes(long percent) {
        return ServerCapacity.heapBytes(percent);
    }
}
