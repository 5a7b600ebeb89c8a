package org.onyxhinge.core.schedule;

/**
 * Why a request was refused or stopped. {@link #notRun()} is true only when the request was not given to any engine, so
 * a caller that receives "not run" may safely send it again. Statuses 408, 421, 429 and 503 promise the same and are
 * not used for other reasons.
 */
public enum RefusalReason {
    /** The body could not be parsed as a request. */
    BAD_REQUEST(400, true),
    /** The workspace is not configured. */
    UNKNOWN_WORKSPACE(404, true),
    /** The tier is not configured. */
    UNKNOWN_TIER(404, true),
    /** The service is not configured. */
    UNKNOWN_SERVICE(404, true),
    /** The body is larger than the router accepts. */
    TOO_LARGE(413, true),
    /** The workspace has reached its limit of queued and running requests. */
    WORKSPACE_LIMIT(429, true),
    /** The tier's queue is full. */
    QUEUE_FULL(503, true),
    /** No live target that is not draining serves the pool. */
    NO_TARGET(503, true),
    /** The request cannot get its first token within its tier's budget. */
    DEADLINE_UNREACHABLE(503, true),
    /** Even an idle target could not start the request within its tier's budget; a larger budget is needed. */
    BUDGET_TOO_SMALL(422, true),
    /** The router is shutting down and takes no new work. */
    DRAINING(503, true),
    /** A non-idempotent request with this key has already been run or is running. */
    ALREADY_RUN(409, true),
    /** The key-value service could not record a non-idempotent request before dispatch. */
    STORE_UNAVAILABLE(503, true),
    /** The chosen target could not be reached; no byte of the request was sent. */
    TARGET_UNREACHABLE(503, true),
    /** The caller closed its connection before the response was complete. */
    CALLER_GONE(499, true),
    /** A running request was preempted by a higher tier; it was partly run. */
    PREEMPTED(502, false),
    /** The target failed or disconnected while the request was running; it may have been partly run. */
    TARGET_FAILED(502, false),
    /** The request was still running at its tier's deadline and was stopped; it was partly run. */
    DEADLINE_EXCEEDED(504, false);

    private final int httpStatus;
    private final boolean notRun;

    RefusalReason(int httpStatus, boolean notRun) {
        this.httpStatus = httpStatus;
        this.notRun = notRun;
    }

    /** The HTTP status of the router's response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** True when the request was not given to any engine. */
    public boolean notRun() {
        return notRun;
    }
}
