package org.onyxhinge.core.route;

/** What may be repeated of a call (RFC 9110, section 9.2.2). */
public enum CallKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; repeated only from the last event on, where the route allows it. */
    STREAM
}
