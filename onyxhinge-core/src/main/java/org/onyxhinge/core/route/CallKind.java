package org.onyxhinge.core.route;

/** Which parts of a call may be repeated (RFC 9110, section 9.2.2). */
public enum CallKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; repeated only after the last received event, where the route allows it. */
    STREAM
}
