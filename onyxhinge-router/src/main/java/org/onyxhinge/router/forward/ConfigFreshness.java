package org.onyxhinge.router.forward;

import org.onyxhinge.wire.SuspendAwareClock;

/**
 * Decides how long a configuration is relied on after the store last confirmed it as the newest, counted from when the
 * confirming read was sent. A router cut off from the store stops trusting API keys before the time that operators
 * allow for revoking a key has passed. Routes are relied on for the time in which a newer configuration is to be in
 * force. Thread-safe.
 */
public final class ConfigFreshness {

    /** Placeholder for the time of a confirmation that never happened. */
    static final long NEVER_CONFIRMED_MS = Long.MIN_VALUE;

    /** Watches may lag behind the store by about a second, and the target starts its work a little after this check. */
    private static final long PROPAGATION_MARGIN_MS = 1_500;

    private final SuspendAwareClock clock = SuspendAwareClock.create();
    private final long maxAgeMs;
    private final long applyMs;

    private ConfigFreshness(long maxAgeMs, long applyMs) {
        this.maxAgeMs = maxAgeMs;
        this.applyMs = applyMs;
    }

    /** Creates an instance for the time that operators allow for revoking a key; 0 for no limit. */
    public static ConfigFreshness within(long maxAgeMs) {
        return within(maxAgeMs, 0);
    }

    /**
     * Creates an instance for the time that operators allow for revoking a key, and for the time in which a new
     * configuration is to be in force; 0 for no limit.
     */
    public static ConfigFreshness within(long maxAgeMs, long applyMs) {
        return new ConfigFreshness(maxAgeMs, applyMs);
    }

    /** Timestamp for a read that is sent now. */
    public long stampMs() {
        return clock.nowMs();
    }

    /** True while the API keys of a configuration that was confirmed at {@code confirmedAtMs} may be trusted. */
    boolean isFresh(long confirmedAtMs) {
        return maxAgeMs == 0
                || confirmedAtMs != NEVER_CONFIRMED_MS && ageMs(confirmedAtMs) < maxAgeMs - PROPAGATION_MARGIN_MS;
    }

    /**
     * True while a configuration that was confirmed at {@code confirmedAtMs} decides like the newest one that has to be
     * in force.
     */
    boolean isCurrent(long confirmedAtMs) {
        return applyMs == 0 || confirmedAtMs != NEVER_CONFIRMED_MS && ageMs(confirmedAtMs) <= applyMs;
    }

    /** Time since a confirmation; -1 if there was none. */
    long ageMs(long confirmedAtMs) {
        return confirmedAtMs == NEVER_CONFIRMED_MS ? -1 : clock.nowMs() - confirmedAtMs;
    }
}
