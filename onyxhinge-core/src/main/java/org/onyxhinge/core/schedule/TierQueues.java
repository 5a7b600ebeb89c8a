package org.onyxhinge.core.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.onyxhinge.core.model.RequestSpec;

/**
 * The queued requests of a router, first come first served within each tier of each pool. Confined to the scheduler's
 * thread.
 */
final class TierQueues {

    private final Map<String, TreeMap<Integer, ArrayDeque<RequestSpec>>> byPool = new HashMap<>();
    private final Map<String, RequestSpec> byId = new HashMap<>();

    void add(RequestSpec spec) {
        queue(spec.pool(), spec.tier().rank()).addLast(spec);
        byId.put(spec.requestId(), spec);
    }

    /** Removes a queued request; null when it is not queued. */
    RequestSpec remove(String requestId) {
        RequestSpec spec = byId.remove(requestId);
        if (spec != null) {
            queue(spec.pool(), spec.tier().rank()).remove(spec);
        }
        return spec;
    }

    /** The newest queued request of the workspace in its lowest tier below that of {@code spec}. */
    Optional<RequestSpec> leastImportant(RequestSpec spec) {
        return byId.values().stream()
                .filter(q -> q.workspace().equals(spec.workspace()))
                .filter(q -> q.tier().rank() > spec.tier().rank())
                .max(Comparator.comparingInt((RequestSpec q) -> q.tier().rank())
                        .thenComparingLong(RequestSpec::arrivedAtMs)
                        .thenComparing(RequestSpec::requestId));
    }

    int size(String pool, int rank) {
        return queue(pool, rank).size();
    }

    /** Number of requests in a pool that are served before a new one of {@code rank}. */
    int sizeUpTo(String pool, int rank) {
        return ranks(pool).headMap(rank, true).values().stream()
                .mapToInt(ArrayDeque::size)
                .sum();
    }

    /** A copy of the queued requests of a pool, most important tier first. */
    List<RequestSpec> inOrder(String pool) {
        List<RequestSpec> out = new ArrayList<>();
        ranks(pool).values().forEach(out::addAll);
        return out;
    }

    boolean isEmpty(String pool) {
        TreeMap<Integer, ArrayDeque<RequestSpec>> ranks = byPool.get(pool);
        return ranks == null || ranks.values().stream().allMatch(ArrayDeque::isEmpty);
    }

    Set<String> pools() {
        return Set.copyOf(byPool.keySet());
    }

    void forEachPool(Consumer<Map.Entry<String, Integer>> sizes) {
        byPool.keySet().forEach(p -> sizes.accept(Map.entry(p, sizeUpTo(p, Integer.MAX_VALUE))));
    }

    private ArrayDeque<RequestSpec> queue(String pool, int rank) {
        return ranks(pool).computeIfAbsent(rank, r -> new ArrayDeque<>());
    }

    private TreeMap<Integer, ArrayDeque<RequestSpec>> ranks(String pool) {
        return byPool.computeIfAbsent(pool, p -> new TreeMap<>());
    }
}
