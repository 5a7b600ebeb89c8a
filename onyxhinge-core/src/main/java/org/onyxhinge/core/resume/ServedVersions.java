package org.onyxhinge.core.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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

    /** Since when no version can have come and gone unseen; empty before the first complete list. */
    private OptionalLong followedSinceMs = OptionalLong.empty();

    private ServedVersions() {}

    /** Creates an instance that has not seen a list of targets. */
    public static ServedVersions unread() {
        return new ServedVersions();
    }

    /** Records that the list of targets is complete, and that versions may have come and gone unseen before. */
    public void followedFrom(long nowMs) {
        followedSinceMs = OptionalLong.of(nowMs);
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
     * Returns the only version that can have begun a stream of a service, as far as the list of targets was read; empty
     * if there are several, or if others may have come and gone unseen.
     *
     * <p>Targets without versions need no time to be sure: a router that has just started would refuse all streams of
     * services that never have versions.
     *
     * @param longestStreamMs the longest time that a stream of the service can last
     */
    public Optional<String> soleVersion(String service, long longestStreamMs, long nowMs) {
        Set<String> versions = versionsSince(service, nowMs - longestStreamMs);
        boolean unversioned = versions.equals(Set.of(""));
        boolean followed =
                followedSinceMs.isPresent() && (unversioned || nowMs - followedSinceMs.getAsLong() >= longestStreamMs);
        boolean sole = versions.size() == 1 && followed;
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
