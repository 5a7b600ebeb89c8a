package org.onyxhinge.core.place;

import java.util.Optional;

/** Outcome of a call that needs a target. */
public sealed interface Verdict {

    /** The call that was decided on. */
    Call call();

    /**
     * The call is sent to a target.
     *
     * @param call the call
     * @param target the target; the call is already counted there
     */
    record Send(Call call, TargetState target) implements Verdict {}

    /**
     * The call is refused and has not run.
     *
     * @param call the call
     * @param reason the reason
     * @param retryAfterMs time until a slot will probably be available
     * @param scheduled whether the caller should retry exactly then, and not some time after
     * @param estimate the wait estimate behind the decision; empty if no target accepts calls
     */
    record Refuse(Call call, Reason reason, long retryAfterMs, boolean scheduled, Optional<WaitEstimate> estimate)
            implements Verdict {}

    /** The call is queued for a slot; another verdict follows. */
    record Wait(Call call) implements Verdict {}

    /** Reason for a refusal. */
    enum Reason {
        /** No target of the service accepts calls. */
        NO_TARGET,
        /** The expected wait is too long. */
        BUSY,
        /** The call has reached its queue deadline. */
        WAITED
    }
}
