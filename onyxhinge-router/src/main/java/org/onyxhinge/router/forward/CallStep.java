package org.onyxhinge.router.forward;

/** How far a call has come between its caller's request and its response. */
enum CallStep {

    /** Its request is being read, checked or charged. */
    INTAKE,

    /** It waits for a slot at a target. */
    QUEUED,

    /** It has a slot and is not sent yet. */
    PLACED,

    /** A target has it and no part of the response has been passed on. */
    SENT,

    /** Part of the response has been passed on. */
    RESPONDING
}
