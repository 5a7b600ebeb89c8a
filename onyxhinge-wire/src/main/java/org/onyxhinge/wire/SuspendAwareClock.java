package org.onyxhinge.wire;

/**
 * Elapsed time that also counts while the whole machine is suspended, which the monotonic clock leaves
 * out. A suspension shows as the time of day running ahead of the monotonic clock; a step of the time of
 * day forward looks the same and is counted too, so this clock may run ahead but never behind. It is for
 * proofs that must not be believed too long, not for timeouts. Thread-safe.
 */
public final class SuspendAwareClock {

    /** Below this, the two clocks differ by scheduling and slewing. */
    private static final long NOISE_MS = 100;

    private long suspendedMs;
    private long lastOffsetMs = Long.MIN_VALUE;

    private SuspendAwareClock() {}

    /** Creates a clock; only differences of its values mean anything. */
    public static SuspendAwareClock create() {
        return new SuspendAwareClock();
    }

    /** Elapsed milliseconds. */
    public long nowMs() {
        return read(MonotonicClock.nowMs(), System.currentTimeMillis());
    }

    /** Elapsed milliseconds for given readings of the two clocks. */
    synchronized long read(long monotonicMs, long timeOfDayMs) {
        long offsetMs = timeOfDayMs - monotonicMs;
        if (lastOffsetMs != Long.MIN_VALUE && offsetMs - lastOffsetMs > NOISE_MS) {
            suspendedMs += offsetMs - lastOffsetMs;
        }
        // Small drift is followed, so that it never adds up to a step.
        lastOffsetMs = offsetMs;
        return monotonicMs + suspendedMs;
    }
}
