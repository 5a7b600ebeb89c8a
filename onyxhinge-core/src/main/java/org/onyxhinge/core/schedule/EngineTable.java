package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The engines known to one router, indexed by id and by pool so that a decision scans only its own pool. Confined to
 * the scheduler's thread.
 */
final class EngineTable {

    private final Map<String, EngineState> byId = new HashMap<>();
    private final Map<String, TreeMap<String, EngineState>> byPool = new HashMap<>();

    EngineState get(String engineId) {
        return byId.get(engineId);
    }

    void put(EngineState engine) {
        remove(engine.id());
        byId.put(engine.id(), engine);
        byPool.computeIfAbsent(engine.info().pool(), p -> new TreeMap<>()).put(engine.id(), engine);
    }

    EngineState remove(String engineId) {
        EngineState engine = byId.remove(engineId);
        if (engine != null) {
            byPool.get(engine.info().pool()).remove(engineId);
        }
        return engine;
    }

    Collection<EngineState> all() {
        return byId.values();
    }

    /** Engines of the pool that currently accept new work, in id order. */
    List<EngineState> usable(String pool, long nowMs, long silentMs) {
        List<EngineState> out = new ArrayList<>();
        for (EngineState s : byPool.getOrDefault(pool, new TreeMap<>()).values()) {
            if (s.usable(nowMs, silentMs)) {
                out.add(s);
            }
        }
        return out;
    }
}
