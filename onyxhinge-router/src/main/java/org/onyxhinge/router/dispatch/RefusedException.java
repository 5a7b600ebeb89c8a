package org.onyxhinge.router.dispatch;

import org.onyxhinge.core.schedule.Refusal;

/** Failure of a future that carries the {@link Refusal} to send to the caller. */
public final class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /** Creates an exception without a stack trace for a refusal. */
    public RefusedException(Refusal refusal) {
        super(refusal.reason() + ": " + refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    /** Returns the refusal to send to the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
