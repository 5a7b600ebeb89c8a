package org.onyxhinge.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prefix hashes an engine probably caches, least recently used first out. Fed by the router's own
 * dispatches and by late cache events with gaps, so it is a guess, never a promise.
 */
final class PrefixMemory {

    private final LinkedHashMap<Long, Boolean> hashes;

    PrefixMemory(int capacity) {
        this.hashes = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    void remember(long hash) {
        if (hash != 0) {
            hashes.put(hash, Boolean.TRUE);
        }
    }

    boolean holds(long hash) {
        return hashes.containsKey(hash);
    }
}
