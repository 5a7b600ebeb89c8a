package org.onyxhinge.runtime.server;

import java.util.Optional;

import org.onyxhinge.core.admit.ClientConnection;
import org.onyxhinge.core.admit.ConnectionPhase;

/** How long the phases of a connection may last. */
final class PhaseTimeouts {

    private PhaseTimeouts() {}

    /** Why a connection is closed now; empty if it is in time. */
    static Optional<String> overdue(ClientConnection use, ServerLimits limits, ServerCapacity capacity, long nowMs) {
        long phaseMs = use.phaseMs(nowMs);
        long responseMs = capacity.responseTimeoutMs();
        return switch (use.phase()) {
            case ConnectionPhase.Idle i -> Optional.empty();
            case ConnectionPhase.HeadArriving h -> reason(phaseMs > limits.headTimeoutMs(), "head_timeout");
            case ConnectionPhase.BodyArriving b -> reason(use.silentMs() > limits.idleTimeoutMs(), "body_timeout");
            case ConnectionPhase.UnderWay u -> reason(responseMs > 0 && phaseMs > responseMs, "response_timeout");
            case ConnectionPhase.Discarding d -> reason(phaseMs > limits.headTimeoutMs(), "rest_timeout");
        };
    }

    private static Optional<String> reason(boolean overdue, String why) {
        return overdue ? Optional.of(why) : Optional.empty();
    }
}
