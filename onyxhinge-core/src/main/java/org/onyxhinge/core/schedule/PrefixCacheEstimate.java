package org.onyxhinge.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimate of the prefix hashes in an engine's cache, with least-recently-used eviction. It is updated from this
 * router's own dispatches and from cache events that are late and incomplete, so it may be wrong in both directions.
 */
final class PrefixCacheEstimate {

    private final LinkedHashMap<Long, Boolean> hashes;

    PrefixCacheEstimate(int capacity) {
        this.hashes = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    void markCached(long hash) {
        if (hash != 0) {
            hashes.put(hash, Boolean.TRUE);
        }
    }

    boolean mayContain(long hash) {
        return hashes.containsKey(hash);
    }
}
