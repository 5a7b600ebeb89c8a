package org.onyxhinge.core.place;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Orders the live routers by rendezvous hashing, separately for each name and identically at every router. If several
 * routers compete for the few items that all of them see, each takes one only if its position allows it, so no
 * coordination is needed. While their views of the fleet differ, an item may briefly be left unused, or be taken twice.
 */
public final class RendezvousOrder {

    private final String self;
    /** Hashes of the other routers' ids. */
    private final Map<String, Long> others = new HashMap<>();
    /** Cached positions by name, valid until a router is added or removed. */
    private final Map<String, Integer> positions = new HashMap<>();

    /** Creates an order that contains only {@code self}. */
    RendezvousOrder(String self) {
        this.self = self;
    }

    /** Adds a router unless it is already known. */
    void add(String router) {
        if (others.putIfAbsent(router, hash(router)) == null) {
            positions.clear();
        }
    }

    void remove(String router) {
        if (others.remove(router) != null) {
            positions.clear();
        }
    }

    /** Number of other routers. */
    int others() {
        return others.size();
    }

    /**
     * Position of this router for a name: the number of other routers that precede it. The router with that name itself
     * is not counted.
     */
    int position(String name) {
        return positions.computeIfAbsent(name, n -> {
            long nameHash = hash(n);
            int own = weight(hash(self), nameHash);
            return (int) others.entrySet().stream()
                    .filter(e -> !e.getKey().equals(n) && weight(e.getValue(), nameHash) > own)
                    .count();
        });
    }

    /** Drops the cached position of a name that will not be looked up again. */
    void forget(String name) {
        positions.remove(name);
    }

    /** A router with its weight for a hash; the greatest weight comes first. */
    private record Weighted(String router, int weight) {}

    /** The routers that come first in the order for a hash, at most {@code count}. */
    public static List<String> first(Collection<String> routers, long nameHash, int count) {
        return routers.stream()
                .map(r -> new Weighted(r, weight(hash(r), nameHash)))
                .sorted(Comparator.comparingInt(Weighted::weight).reversed().thenComparing(Weighted::router))
                .limit(count)
                .map(Weighted::router)
                .toList();
    }

    /** Hash of a name or a router's id. */
    public static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    static int weight(long routerHash, long nameHash) {
        return MurmurHash3.hash32(routerHash, nameHash);
    }
}
