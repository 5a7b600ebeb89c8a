package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The engines one router knows, by id and by pool, so a decision looks only at its own pool. Owned by
 * the scheduler's thread.
 */
final class EngineTable {

    private final Map<String, EngineSlot> byId = new HashMap<>();
    private final Map<String, TreeMap<String, EngineSlot>> byPool = new HashMap<>();

    EngineSlot get(String engineId) {
        return byId.get(engineId);
    }

    void put(EngineSlot slot) {
        remove(slot.id());
        byId.put(slot.id(), slot);
        byPool.computeIfAbsent(slot.info().pool(), p -> new TreeMap<>()).put(slot.id(), slot);
    }

    EngineSlot remove(String engineId) {
        EngineSlot slot = byId.remove(engineId);
        if (slot != null) {
            byPool.get(slot.info().pool()).remove(engineId);
        }
        return slot;
    }

    Collection<EngineSlot> all() {
        return byId.values();
    }

    /** Engines of the pool that may take new work now, in id order. */
    List<EngineSlot> usable(String pool, long nowMs, long silentMs) {
        List<EngineSlot> out = new ArrayList<>();
        for (EngineSlot s : byPool.getOrDefault(pool, new TreeMap<>()).values()) {
            if (s.usable(nowMs, silentMs)) {
                out.add(s);
            }
        }
        return out;
    }
}
