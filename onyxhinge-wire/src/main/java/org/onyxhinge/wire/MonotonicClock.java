package org.onyxhinge.wire;

/**
 * The clock every time limit is measured by: it never goes back and also runs while a process is paused,
 * though not while the whole machine is suspended ({@link SuspendAwareClock} does).
 */
public final class MonotonicClock {

    private static final int NS_PER_MS = 1_000_000;

    private MonotonicClock() {}

    /** Milliseconds from an arbitrary start; only differences within one process mean anything. */
    public static long nowMs() {
        return System.nanoTime() / NS_PER_MS;
    }
}
