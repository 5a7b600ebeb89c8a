package org.onyxhinge.core.place;

/**
 * What this router's own calls say of a target's health: a circuit breaker for connections that cannot
 * be made, a smoothed failure rate for targets that fail while their health check passes, and silence.
 */
final class TargetHealth {

    /** Weight of the newest outcome: about the last ten decide. */
    private static final double OUTCOME_WEIGHT = 0.1;

    private static final long FIRST_PAUSE_MS = 200;
    /** A target that came back is noticed within this time. */
    private static final long LONGEST_PAUSE_MS = 1_600;

    /** About the time between two ends on a full target. */
    private static final long SHED_PAUSE_MS = 100;

    private double failureRate;
    private long pausedUntilMs;
    private long pauseMs = FIRST_PAUSE_MS;
    private long heardAtMs;

    /** Notes an answer that the target gave, good or bad. */
    void answered(boolean good, long nowMs) {
        heard(nowMs);
        failureRate += OUTCOME_WEIGHT * ((good ? 0 : 1) - failureRate);
    }

    /** Notes bytes from the target. */
    void heard(long nowMs) {
        heardAtMs = nowMs;
        pauseMs = FIRST_PAUSE_MS;
        pausedUntilMs = 0;
    }

    /** Notes a call that broke without an answer. */
    void broken() {
        failureRate += OUTCOME_WEIGHT * (1 - failureRate);
    }

    /** Notes that no connection could be made or that it fell silent: no calls until the pause is over. */
    void unreachable(long nowMs) {
        broken();
        if (nowMs >= pausedUntilMs) {
            pausedUntilMs = nowMs + pauseMs;
            pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        }
    }

    /** Notes that it turned a call away as full; it gets none until some of its work has had time to end. */
    void shed(long nowMs) {
        pausedUntilMs = Math.max(pausedUntilMs, nowMs + SHED_PAUSE_MS);
    }

    boolean paused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** Lets calls through after a pause one at a time, until one of them is answered. */
    boolean onProbation() {
        return pauseMs > FIRST_PAUSE_MS;
    }

    double failureRate() {
        return failureRate;
    }

    long heardAtMs() {
        return heardAtMs;
    }
}
