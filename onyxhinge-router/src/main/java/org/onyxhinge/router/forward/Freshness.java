package org.onyxhinge.router.forward;

import org.onyxhinge.wire.SuspendAwareClock;

/**
 * For how long API keys are believed after the store has confirmed that the configuration that holds them is the
 * newest, counted from when the read that confirmed it was sent. A router that is cut off stops believing keys before
 * that is longer ago than operators allow for a key taken away. Thread-safe.
 */
public final class Freshness {

    /** Stands for the time of a confirmation that was never given. */
    static final long NEVER_MS = Long.MIN_VALUE;

    /**
     * Watches may trail behind the store by about a second, and the target starts its work a little after
     * this check.
     */
    private static final long MARGIN_MS = 1_500;

    private final SuspendAwareClock clock = SuspendAwareClock.create();
    private final long limitMs;

    private Freshness(long limitMs) {
        this.limitMs = limitMs;
    }

    /** Creates one for operators who allow {@code limitMs} for a key taken away; 0 for no limit. */
    public static Freshness within(long limitMs) {
        return new Freshness(limitMs);
    }

    /** The time, for a read sent now. */
    public long stampMs() {
        return clock.nowMs();
    }

    /** True while the API keys of a configuration may be believed that was confirmed at {@code confirmedAtMs}. */
    boolean holds(long confirmedAtMs) {
        return limitMs == 0 || confirmedAtMs != NEVER_MS && ageMs(confirmedAtMs) < limitMs - MARGIN_MS;
    }

    /** Time since a confirmation; -1 before the first. */
    long ageMs(long confirmedAtMs) {
        return confirmedAtMs == NEVER_MS ? -1 : clock.nowMs() - confirmedAtMs;
    }
}
