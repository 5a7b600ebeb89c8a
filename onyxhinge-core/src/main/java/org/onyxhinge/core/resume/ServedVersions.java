package org.onyxhinge.core.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * The versions that the registered targets of each service have, or had recently. While a service has only one, a
 * stream of unknown origin can only have begun there.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 */
public final class ServedVersions {

    /** More than the versions that are replaced within the longest time that a stream lasts. */
    private static final int MAX_REMOVED = 1_024;

    /** Registered targets by id. */
    private final Map<String, StreamOrigin> registered = new HashMap<>();

    /** When the last target of a version was removed. */
    private final Map<StreamOrigin, Long> removedAtMs = BoundedMap.dropLeastRecentlyUsed(MAX_REMOVED);

    private final long startedAtMs;

    private ServedVersions(long startedAtMs) {
        this.startedAtMs = startedAtMs;
    }

    /** Starts to follow the registry. */
    public static ServedVersions startingAt(long nowMs) {
        return new ServedVersions(nowMs);
    }

    /** Records that a target is registered. */
    public void registered(String id, StreamOrigin version, long nowMs) {
        StreamOrigin before = registered.put(id, version);
        if (before != null && !before.equals(version)) {
            removedAtMs.put(before, nowMs);
        }
    }

    /** Records that a target is no longer registered. */
    public void removed(String id, long nowMs) {
        StreamOrigin before = registered.remove(id);
        if (before != null) {
            removedAtMs.put(before, nowMs);
        }
    }

    /**
     * Returns the only version that can have begun a stream of a service; empty if there are several, or if there may
     * have been others before this router started.
     *
     * @param longestStreamMs the longest time that a stream of the service can last
     */
    public Optional<String> soleVersion(String service, long longestStreamMs, long nowMs) {
        Set<String> versions = versionsSince(service, nowMs - longestStreamMs);
        boolean unversioned = versions.equals(Set.of(""));
        boolean sole = versions.size() == 1 && (unversioned || nowMs - startedAtMs >= longestStreamMs);
        return sole ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    private Set<String> versionsSince(String service, long fromMs) {
        Set<String> out = new HashSet<>();
        registered.values().stream().filter(v -> v.service().equals(service)).forEach(v -> out.add(v.version()));
        removedAtMs.forEach((v, at) -> {
            if (v.service().equals(service) && at >= fromMs) {
                out.add(v.version());
            }
        });
        return out;
    }
}
