package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Targets whose registrations lapsed while the registry was unavailable. Each stays in use until it has had time to
 * register again. Removing them at once would leave a whole service without targets for the first seconds after an
 * outage.
 */
public final class LapsedTargets {

    /** Live targets write to the registry about once per second, and routers read it about once per second. */
    private static final long REREGISTRATION_GRACE_MS = 2_000;

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
