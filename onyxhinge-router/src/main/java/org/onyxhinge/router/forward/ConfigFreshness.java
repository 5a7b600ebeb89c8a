package org.onyxhinge.router.forward;

import org.onyxhinge.wire.SuspendAwareClock;

/**
 * Decides how long a configuration is relied on after the store last confirmed it as the newest, counted from when the
 * confirming read was sent. A router cut off from the store stops trusting API keys before the time that operators
 * allow for revoking a key has passed. Routes are relied on for the time in which a newer configuration is to be in
 * force, and the list of targets for the time after which no call may reach one that has left. Thread-safe.
 */
public final class ConfigFreshness {

    /** Placeholder for the time of a confirmation that never happened. */
    static final long NEVER_CONFIRMED_MS = Long.MIN_VALUE;

    /** Watches may lag behind the store by about a second, and the target starts its work a little after this check. */
    private static final long PROPAGATION_MARGIN_MS = 1_500;

    /** Time from the check of a target until a call reaches it. */
    private static final long SEND_MARGIN_MS = 200;

    private final SuspendAwareClock clock = SuspendAwareClock.create();
    private final long maxAgeMs;
    private final long applyMs;
    private final long drainMs;

    private ConfigFreshness(long maxAgeMs, long applyMs, long drainMs) {
        this.maxAgeMs = maxAgeMs;
        this.applyMs = applyMs;
        this.drainMs = drainMs;
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
        return within(maxAgeMs, applyMs, 0);
    }

    /**
     * Creates an instance for the time that operators allow for revoking a key, for the time in which a new
     * configuration is to be in force, and for the time after which no call may reach a target that has left; 0 for no
     * limit.
     */
    public static ConfigFreshness within(long maxAgeMs, long applyMs, long drainMs) {
        return new ConfigFreshness(maxAgeMs, applyMs, drainMs);
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

    /**
     * True while a list of targets that was complete at {@code provedAtMs} shows each target that no call may reach any
     * more.
     */
    boolean isTargetListCurrent(long provedAtMs) {
        return drainMs == 0 || provedAtMs != NEVER_CONFIRMED_MS && ageMs(provedAtMs) <= drainMs - SEND_MARGIN_MS;
    }

    /** Time since a confirmation; -1 if there was none. */
    long ageMs(long confirmedAtMs) {
        return confirmedAtMs == NEVER_CONFIRMED_MS ? -1 : clock.nowMs() - confirmedAtMs;
    }
}
