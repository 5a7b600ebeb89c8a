package org.onyxhinge.core.schedule;

/**
 * Why a request was refused or stopped. {@link #notRun()} is true only when no engine was given the
 * request, so a caller told "not run" may safely send it again.
 */
public enum RefusalReason {
    /** The body could not be read as a request. */
    BAD_REQUEST(400, true),
    /** The workspace is not configured. */
    UNKNOWN_WORKSPACE(404, true),
    /** The tier is not configured. */
    UNKNOWN_TIER(404, true),
    /** The service is not configured. */
    UNKNOWN_SERVICE(404, true),
    /** The body is larger than the router accepts. */
    TOO_LARGE(413, true),
    /** The workspace already has its limit of requests queued or running. */
    WORKSPACE_LIMIT(429, true),
    /** The tier's queue is full. */
    QUEUE_FULL(503, true),
    /** No live, non-leaving target serves the pool. */
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
    /** The chosen target could not be reached; the request never left the router. */
    TARGET_UNREACHABLE(503, true),
    /** The caller closed its connection before the answer was whole. */
    CALLER_GONE(499, true),
    /** A running request was stopped to make room for a higher tier; it was partly run. */
    PREEMPTED(503, false),
    /** The target failed or vanished while the request was running; it may have been partly run. */
    TARGET_FAILED(502, false),
    /** The request was still running at its tier's deadline and was stopped; it was partly run. */
    DEADLINE_EXCEEDED(504, false);

    private final int httpStatus;
    private final boolean notRun;

    RefusalReason(int httpStatus, boolean notRun) {
        this.httpStatus = httpStatus;
        this.notRun = notRun;
    }

    /** The HTTP status the router answers with. */
    public int httpStatus() {
        return httpStatus;
    }

    /** True when no engine was ever given the request. */
    public boolean notRun() {
        return notRun;
    }
}
