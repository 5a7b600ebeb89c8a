package org.onyxhinge.core.schedule;

import java.util.Map;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Estimate of the prefix hashes in an engine's cache, with least-recently-used eviction. It is updated from this
 * router's own dispatches and from cache events that are late and incomplete, so it may be wrong in both directions.
 */
final class PrefixCacheEstimate {

    private final Map<Long, Boolean> hashes;

    PrefixCacheEstimate(int capacity) {
        this.hashes = BoundedMap.dropLeastRecentlyUsed(capacity);
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
