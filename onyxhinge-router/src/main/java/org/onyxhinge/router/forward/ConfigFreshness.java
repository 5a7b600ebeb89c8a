package org.onyxhinge.router.forward;

import org.onyxhinge.wire.SuspendAwareClock;

/**
 * Decides how long API keys are trusted after the store last confirmed their configuration as the newest, counted from
 * when the confirming read was sent. A router cut off from the store stops trusting keys before the time that operators
 * allow for revoking a key has passed. Thread-safe.
 */
public final class ConfigFreshness {

    /** Placeholder for the time of a confirmation that never happened. */
    static final long NEVER_CONFIRMED_MS = Long.MIN_VALUE;

    /** Watches may lag behind the store by about a second, and the target starts its work a little after this check. */
    private static final long PROPAGATION_MARGIN_MS = 1_500;

    private final SuspendAwareClock clock = SuspendAwareClock.create();
    private final long maxAgeMs;

    private ConfigFreshness(long maxAgeMs) {
        this.maxAgeMs = maxAgeMs;
    }

    /** Creates an instance for the time that operators allow for revoking a key; 0 for no limit. */
    public static ConfigFreshness within(long maxAgeMs) {
        return new ConfigFreshness(maxAgeMs);
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

    /** Time since a confirmation; -1 if there was none. */
    long ageMs(long confirmedAtMs) {
        return confirmedAtMs == NEVER_CONFIRMED_MS ? -1 : clock.nowMs() - confirmedAtMs;
    }
}
