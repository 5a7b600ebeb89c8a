package org.onyxhinge.core.place;

import java.util.Optional;

/** What becomes of a call that wants a target. */
public sealed interface Verdict {

    /** The call this is about. */
    Call call();

    /**
     * It goes to a target.
     *
     * @param call the call
     * @param target the target, on which it already counts
     */
    record Send(Call call, TargetState target) implements Verdict {}

    /**
     * It is refused; it has not run.
     *
     * @param call the call
     * @param reason why
     * @param retryAfterMs when there will probably be room
     * @param estimate the wait that decided; empty when no target takes calls
     */
    record Refuse(Call call, Reason reason, long retryAfterMs, Optional<WaitEstimate> estimate) implements Verdict {}

    /** It waits for room; a later verdict follows. */
    record Wait(Call call) implements Verdict {}

    /** Why a call is refused. */
    enum Reason {
        /** No target of the service takes calls. */
        NO_TARGET,
        /** The wait for room would be too long. */
        BUSY,
        /** It waited as long as it may. */
        WAITED
    }
}
