package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Targets whose registrations are missing after the registry was unavailable. If much of a service is missing, they
 * have lapsed: each stays in use until it has had time to register again, since removing them at once would leave the
 * service without targets for the first seconds after an outage. A few that are missing have left.
 */
public final class LapsedTargets {

    /** Live targets write to the registry about once per second, and routers read it about once per second. */
    private static final long REREGISTRATION_GRACE_MS = 2_000;

    /** Of the targets of a service, as many as one in this number are missing after an outage in which they lapse. */
    private static final int LAPSED_DIVISOR = 2;

    private final Map<String, Long> expiresAtMs = new LinkedHashMap<>();

    private LapsedTargets() {}

    /** Creates an instance without lapsed targets. */
    public static LapsedTargets create() {
        return new LapsedTargets();
    }

    /** Records that the registration of a target is missing after an outage of the registry. */
    public void lapsed(String id, long nowMs) {
        expiresAtMs.putIfAbsent(id, nowMs + REREGISTRATION_GRACE_MS);
    }

    /** Whether so few of the registered targets of a service are missing that they have left. */
    public static boolean haveLeft(int missing, int registered) {
        return missing * LAPSED_DIVISOR < registered;
    }

    /** The targets that are missing. */
    public Set<String> missing() {
        return Set.copyOf(expiresAtMs.keySet());
    }

    /** Records that a target is registered again, or is known to be gone. */
    public void settled(String id) {
        expiresAtMs.remove(id);
    }

    /** Removes and returns the targets whose grace period has ended. */
    public List<String> due(long nowMs) {
        List<String> out = new ArrayList<>();
        expiresAtMs.entrySet().removeIf(e -> nowMs >= e.getValue() && out.add(e.getKey()));
        return out;
    }
}
