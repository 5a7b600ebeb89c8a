package org.onyxhinge.core.schedule;

/** Thrown when one of the brief's promises is found broken inside the program. */
public final class InvariantViolation extends Error {

    private static final long serialVersionUID = 1L;

    /** Creates the error with the promise and the subject that broke it. */
    public InvariantViolation(String message) {
        super(message);
    }
}
