package org.onyxhinge.wire;

/**
 * The monotonic clock for timeouts and deadlines. It never goes back and advances while the process is paused, but
 * not while the machine is suspended; {@link SuspendAwareClock} covers that case.
 */
public final class MonotonicClock {

    private static final int NS_PER_MS = 1_000_000;

    private MonotonicClock() {}

    /** Milliseconds since an arbitrary origin; only differences between values in one process are meaningful. */
    public static long nowMs() {
        return System.nanoTime() / NS_PER_MS;
    }
}
