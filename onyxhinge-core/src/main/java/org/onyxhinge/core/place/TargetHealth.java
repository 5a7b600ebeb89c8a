package org.onyxhinge.core.place;

/**
 * Health of a target as seen in this router's own calls: a circuit breaker for failed connections and silence, a pause
 * that the target asks for, and a smoothed failure rate for targets that fail while their health check passes.
 */
final class TargetHealth {

    /** Weight of the newest outcome; the average spans about ten. */
    private static final double OUTCOME_SMOOTHING = 0.1;

    private static final long MIN_PAUSE_MS = 200;
    /** Upper bound for the time until a recovered target is noticed. */
    private static final long MAX_PAUSE_MS = 1_600;

    /** About the time between two calls ending on a full target. */
    private static final long SHED_PAUSE_MS = 100;

    private double failureRate;
    private long unreachableUntilMs;
    /** Unlike silence, a refusal is not disproved by the bytes of other calls. */
    private long refusesUntilMs;

    private long pauseMs = MIN_PAUSE_MS;
    private long heardAtMs;

    /** Records a response of the target, successful or not. */
    void answered(boolean good, long nowMs) {
        heard(nowMs);
        failureRate += OUTCOME_SMOOTHING * ((good ? 0 : 1) - failureRate);
    }

    /** Records bytes received from the target. */
    void heard(long nowMs) {
        heardAtMs = nowMs;
        pauseMs = MIN_PAUSE_MS;
        unreachableUntilMs = 0;
    }

    /** Records a call that was cut off without a response. */
    void broken() {
        failureRate += OUTCOME_SMOOTHING * (1 - failureRate);
    }

    /** Records a failed connection or a silent target: no calls are sent until the pause is over. */
    void unreachable(long nowMs) {
        broken();
        if (nowMs >= unreachableUntilMs) {
            unreachableUntilMs = nowMs + pauseMs;
            pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
        }
    }

    /**
     * Records that the target refused a call; it gets no calls for as long as it asks, and in any case until some of
     * its work has had time to end.
     *
     * @param retryAfterMs how long it asked for; 0 if it did not say
     */
    void shed(long nowMs, long retryAfterMs) {
        refusesUntilMs = Math.max(refusesUntilMs, nowMs + Math.max(SHED_PAUSE_MS, retryAfterMs));
    }

    boolean paused(long nowMs) {
        return nowMs < unreachableUntilMs || refusesCalls(nowMs);
    }

    /** Whether the target has refused a call and wants no others yet. */
    boolean refusesCalls(long nowMs) {
        return nowMs < refusesUntilMs;
    }

    /** When the target will accept calls again after a refusal; in the past if it accepts them. */
    long refusesUntilMs() {
        return refusesUntilMs;
    }

    /** Whether calls are let through one at a time after a pause, until one of them is answered. */
    boolean onProbation() {
        return pauseMs > MIN_PAUSE_MS;
    }

    double failureRate() {
        return failureRate;
    }

    long heardAtMs() {
        return heardAtMs;
    }
}
