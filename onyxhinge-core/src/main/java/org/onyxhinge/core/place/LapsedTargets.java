package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Targets whose registrations lapsed while the registry was away. Each stays in use until it has had time to register
 * again; taken out at once, a whole service would be without targets for the first seconds after an outage.
 */
public final class LapsedTargets {

    /** Targets that live write to the registry about every second, and routers read it about every second. */
    private static final long BACK_WITHIN_MS = 2_000;

    private final Map<String, Long> goneAtMs = new LinkedHashMap<>();

    private LapsedTargets() {}

    /** Creates one that knows of no lapse. */
    public static LapsedTargets create() {
        return new LapsedTargets();
    }

    /** Notes that a target's registration is missing after the registry was away. */
    public void lapsed(String id, long nowMs) {
        goneAtMs.putIfAbsent(id, nowMs + BACK_WITHIN_MS);
    }

    /** Notes that a target is registered, or is known to be gone. */
    public void settled(String id) {
        goneAtMs.remove(id);
    }

    /** Takes out the targets that are still missing and are to be taken as gone. */
    public List<String> due(long nowMs) {
        List<String> out = new ArrayList<>();
        goneAtMs.entrySet().removeIf(e -> nowMs >= e.getValue() && out.add(e.getKey()));
        return out;
    }
}
