package org.onyxhinge.router.forward;

/**
 * Decides when a silent target, or the connection to it, is considered lost. A connection can go silent without a
 * reset. Engines emit events every few tens of ms, so a second without any byte from a target on any connection is not
 * a pause in its work. Only repeatable calls are given up: other calls may still be answered and must not be sent to
 * another target.
 */
final class SilenceDetector {

    private static final long SILENT_MS = 1_000;
    /** The target is silent while it reads a prompt; the expected time for that is multiplied by this factor. */
    private static final int PREFILL_TIMEOUT_FACTOR = 3;

    private SilenceDetector() {}

    static boolean isTargetLost(Attempt a, long nowMs) {
        if (!a.repeatable() || a.silentMs(nowMs) < SILENT_MS) {
            return false;
        }
        double prefillMs =
                a.firstByteSeen() ? 0 : PREFILL_TIMEOUT_FACTOR * a.target().firstByteMs(a.call());
        boolean targetSilent = nowMs - a.target().heardAtMs() >= SILENT_MS + prefillMs;
        return targetSilent && a.silentMs(nowMs) >= SILENT_MS + prefillMs;
    }
}
