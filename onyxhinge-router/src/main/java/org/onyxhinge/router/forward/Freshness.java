package org.onyxhinge.router.forward;

import org.onyxhinge.wire.SuspendAwareClock;

/**
 * How long ago the store last confirmed that the configuration held here is the newest, counted from
 * when the call that confirmed it was sent. A router that is cut off stops believing API keys before
 * that is older than operators allow for a key taken away. Thread-safe.
 */
public final class Freshness {

    /**
     * Watches may trail behind the store by about a second, and the target starts its work a little after
     * this check.
     */
    private static final long MARGIN_MS = 1_500;

    private final SuspendAwareClock clock = SuspendAwareClock.create();
    private final long limitMs;
    private volatile long provedAtMs = Long.MIN_VALUE;

    private Freshness(long limitMs) {
        this.limitMs = limitMs;
    }

    /** Creates a proof that has not been given; {@code limitMs} 0 means that none is needed. */
    public static Freshness within(long limitMs) {
        return new Freshness(limitMs);
    }

    /** The time to pass to {@link #proved} for a call sent now. */
    public long stampMs() {
        return clock.nowMs();
    }

    /** Notes an answer of the store to a call sent at {@code stampMs}. */
    public synchronized void proved(long stampMs) {
        provedAtMs = Math.max(provedAtMs, stampMs);
    }

    /** True while API keys may be believed. */
    public boolean holds() {
        return limitMs == 0 || provedAtMs != Long.MIN_VALUE && ageMs() < limitMs - MARGIN_MS;
    }

    /** Age of the newest proof; -1 before the first. */
    public long ageMs() {
        return provedAtMs == Long.MIN_VALUE ? -1 : clock.nowMs() - provedAtMs;
    }
}
