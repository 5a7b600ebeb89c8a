package org.onyxhinge.router.dispatch;

import org.onyxhinge.core.schedule.Refusal;

/** Carries a {@link Refusal} through a failed future. */
public final class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /** Wraps a refusal. */
    public RefusedException(Refusal refusal) {
        super(refusal.reason() + ": " + refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    /** What to tell the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
