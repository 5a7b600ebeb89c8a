package org.onyxhinge.core.resume;

import java.util.Map;
import java.util.Optional;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Origins of recent streams, by a hash that identifies the attempt that began the stream. Not thread-safe: confined to
 * one thread.
 */
public final class StreamOriginTable {

    /** More than a router learns of within the longest time that callers wait, at the planned fleet size. */
    private static final int MAX_ORIGINS = 16_384;

    private final Map<Long, StreamOrigin> origins = BoundedMap.dropOldest(MAX_ORIGINS);

    private StreamOriginTable() {}

    /** Creates an empty table. */
    public static StreamOriginTable create() {
        return new StreamOriginTable();
    }

    /** Records an origin; a later one of the same stream replaces it. */
    public void add(long key, StreamOrigin origin) {
        origins.remove(key);
        origins.put(key, origin);
    }

    /** Returns the origin of a stream; empty if it is not known here. */
    public Optional<StreamOrigin> find(long key) {
        return Optional.ofNullable(origins.get(key));
    }

    /** Number of origins on record. */
    public int size() {
        return origins.size();
    }
}
