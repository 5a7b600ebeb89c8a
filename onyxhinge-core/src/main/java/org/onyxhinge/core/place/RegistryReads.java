package org.onyxhinge.core.place;

/**
 * Tracks when the registry was last read, to decide whether a missing registration may have lapsed in an outage of the
 * registry instead of having been given up. Time during which this VM was suspended does not count, because the
 * registry was available meanwhile.
 */
public final class RegistryReads {

    /**
     * A registration lapses after three heartbeats of 1.2 s, and the last heartbeat may have arrived just before the
     * registry failed.
     */
    private static final long OUTAGE_THRESHOLD_MS = 2_400;

    private long lastReadAtMs = Long.MAX_VALUE;

    private RegistryReads() {}

    /** Creates an instance without any read. */
    public static RegistryReads create() {
        return new RegistryReads();
    }

    /** Records that a response of the registry has been processed completely. */
    public void readCompleted(long nowMs) {
        lastReadAtMs = nowMs;
    }

    /** Whether the gap before the read now being processed was long enough for registrations to have lapsed. */
    public boolean wasUnavailable(long nowMs) {
        return lastReadAtMs != Long.MAX_VALUE && agoMs(nowMs) > OUTAGE_THRESHOLD_MS;
    }

    /** Time since the last read. */
    public long agoMs(long nowMs) {
        return nowMs - lastReadAtMs;
    }
}
