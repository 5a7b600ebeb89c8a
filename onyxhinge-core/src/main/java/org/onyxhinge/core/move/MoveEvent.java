package org.onyxhinge.core.move;

/** What can happen while a call is moved from a first target to another one. */
public enum MoveEvent {
    /** The call has been sent to the other target. */
    SENT,
    /** The first target has sent an event of the stream, or its whole response. */
    FIRST_RESPONDED,
    /** The connection to the first target broke, or it has failed the call. */
    FIRST_FAILED,
    /** The other target has sent an event of the stream, or its whole response. */
    OTHER_RESPONDED,
    /** The other target has refused the call, failed it or broken off, or cannot be reached. */
    OTHER_FAILED,
    /** The call is over: its caller has left, or its time has. */
    CALL_ENDED
}
