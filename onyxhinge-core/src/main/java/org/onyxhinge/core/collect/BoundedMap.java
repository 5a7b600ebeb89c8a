package org.onyxhinge.core.collect;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Hash map with a limited number of entries: a further one replaces the eldest. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    private BoundedMap(int maxEntries, boolean accessOrder) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder);
        this.maxEntries = maxEntries;
    }

    /** Creates a map that drops the entry that was added first. */
    public static <K, V> BoundedMap<K, V> dropOldest(int maxEntries) {
        return new BoundedMap<>(maxEntries, false);
    }

    /** Creates a map that drops the entry that was written or returned by {@code get} longest ago. */
    public static <K, V> BoundedMap<K, V> dropLeastRecentlyUsed(int maxEntries) {
        return new BoundedMap<>(maxEntries, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
