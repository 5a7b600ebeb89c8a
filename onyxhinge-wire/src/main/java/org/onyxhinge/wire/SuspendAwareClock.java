package org.onyxhinge.wire;

/**
 * A clock that includes the time for which the machine was suspended, which the monotonic clock leaves out. A
 * suspension is detected when the wall clock advances further than the monotonic clock. A forward step of the wall
 * clock cannot be told from a suspension and is counted too, so this clock may run fast but never slow. Use it for
 * the expiry of cached credentials and similar validity limits, not for timeouts. Thread-safe.
 */
public final class SuspendAwareClock {

    /** Smaller differences between the clocks come from scheduling delays and clock slewing. */
    private static final long MAX_JITTER_MS = 100;

    private long suspendedMs;
    private long lastOffsetMs = Long.MIN_VALUE;

    private SuspendAwareClock() {}

    /** Creates a clock; only differences between its values are meaningful. */
    public static SuspendAwareClock create() {
        return new SuspendAwareClock();
    }

    /** Elapsed milliseconds, suspended time included. */
    public long nowMs() {
        return read(MonotonicClock.nowMs(), System.currentTimeMillis());
    }

    /** Elapsed milliseconds, suspended time included, for the given readings of the two clocks. */
    synchronized long read(long monotonicMs, long wallClockMs) {
        long offsetMs = wallClockMs - monotonicMs;
        if (lastOffsetMs != Long.MIN_VALUE && offsetMs - lastOffsetMs > MAX_JITTER_MS) {
            suspendedMs += offsetMs - lastOffsetMs;
        }
        // Updated on every reading, so that gradual drift never adds up to a step.
        lastOffsetMs = offsetMs;
        return monotonicMs + suspendedMs;
    }
}
