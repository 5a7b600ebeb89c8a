package org.onyxhinge.router.forward;

/**
 * When a target's silence means that it, or the connection to it, is gone. An open connection can fall
 * silent for good without a reset; engines make events every few tens of ms, so a second without any
 * byte from a target on any connection is no pause of its work. Only calls that may be repeated are given
 * up: for the others an answer may still come, and no other target may be asked.
 */
final class Silence {

    private static final long SILENT_MS = 1_000;
    /** A long prompt is read in silence; its expected time is allowed this many times over. */
    private static final int PREFILL_ALLOWANCE = 3;

    private Silence() {}

    static boolean tooLong(Attempt a, long nowMs) {
        if (!a.repeatable() || a.silentMs(nowMs) < SILENT_MS) {
            return false;
        }
        double readingMs =
                a.firstByteSeen() ? 0 : PREFILL_ALLOWANCE * a.target().firstByteMs(a.call());
        boolean targetSilent = nowMs - a.target().heardAtMs() >= SILENT_MS + readingMs;
        return targetSilent && a.silentMs(nowMs) >= SILENT_MS + readingMs;
    }
}
