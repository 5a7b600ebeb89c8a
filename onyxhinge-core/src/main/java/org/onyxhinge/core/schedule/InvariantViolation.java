package org.onyxhinge.core.schedule;

/** Thrown when an internal check finds one of the scheduler's invariants violated. */
public final class InvariantViolation extends Error {

    private static final long serialVersionUID = 1L;

    /** Creates the error with the invariant and the subject that violated it. */
    public InvariantViolation(String message) {
        super(message);
    }
}
