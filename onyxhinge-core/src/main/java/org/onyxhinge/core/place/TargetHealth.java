package org.onyxhinge.core.place;

/**
 * Health of a target as seen in this router's own calls: a circuit breaker for failed connections and silence, and a
 * smoothed failure rate for targets that fail while their health check passes.
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
    private long pausedUntilMs;
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
        pausedUntilMs = 0;
    }

    /** Records a call that was cut off without a response. */
    void broken() {
        failureRate += OUTCOME_SMOOTHING * (1 - failureRate);
    }

    /** Records a failed connection or a silent target: no calls are sent until the pause is over. */
    void unreachable(long nowMs) {
        broken();
        if (nowMs >= pausedUntilMs) {
            pausedUntilMs = nowMs + pauseMs;
            pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
        }
    }

    /**
     * Records that the target refused a call because it is full; it gets no calls until some of its work has had time
     * to end.
     */
    void shed(long nowMs) {
        pausedUntilMs = Math.max(pausedUntilMs, nowMs + SHED_PAUSE_MS);
    }

    boolean paused(long nowMs) {
        return nowMs < pausedUntilMs;
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
