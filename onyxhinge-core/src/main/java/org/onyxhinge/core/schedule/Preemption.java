package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.model.RequestSpec;

/**
 * Finds lower-tier work whose stopping lets a higher tier start in time, at the least cost in prefill:
 * a request already past its prefill has sunk all of it, so requests not yet started go first.
 */
final class Preemption {

    private Preemption() {}

    /** Lower-tier requests on one engine whose removal makes room. */
    record Room(EngineSlot slot, List<Running> victims, long wastedPrefillTokens) {}

    /** The cheapest room for {@code spec} on any of {@code live}, if there is one. */
    static Optional<Room> cheapestRoom(List<EngineSlot> live, RequestSpec spec, long nowMs) {
        Room best = null;
        for (EngineSlot slot : live) {
            Room room = roomOn(slot, spec, nowMs);
            if (room != null && (best == null || room.wastedPrefillTokens() < best.wastedPrefillTokens())) {
                best = room;
            }
        }
        return Optional.ofNullable(best);
    }

    /** True when stopping every lower-tier request of this router on one engine would let it start. */
    static boolean lowerTierCouldHelp(List<EngineSlot> live, RequestSpec spec, long nowMs) {
        for (EngineSlot slot : live) {
            List<Running> lower = lowerTier(slot, spec);
            if (!lower.isEmpty() && fits(slot, spec, ids(lower), nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** This router's least important request on an engine of a tier below {@code rank}, cheapest first. */
    static Optional<Running> leastImportantBelow(EngineSlot slot, int rank) {
        return slot.running().stream().filter(r -> r.rank() > rank).min(victimOrder(slot));
    }

    private static Comparator<Running> victimOrder(EngineSlot slot) {
        return Comparator.comparingInt(Running::rank)
                .reversed()
                .thenComparingLong(slot::sunkPrefillTokens)
                .thenComparing(Comparator.comparingLong(Running::dispatchedAtMs).reversed());
    }

    private static Room roomOn(EngineSlot slot, RequestSpec spec, long nowMs) {
        List<Running> lower = lowerTier(slot, spec);
        lower.sort(victimOrder(slot));
        Set<String> without = new HashSet<>();
        long wasted = 0;
        for (int i = 0; i < lower.size(); i++) {
            without.add(lower.get(i).spec().requestId());
            wasted += slot.sunkPrefillTokens(lower.get(i));
            if (fits(slot, spec, without, nowMs)) {
                return new Room(slot, List.copyOf(lower.subList(0, i + 1)), wasted);
            }
        }
        return null;
    }

    private static List<Running> lowerTier(EngineSlot slot, RequestSpec spec) {
        List<Running> out = new ArrayList<>();
        for (Running r : slot.running()) {
            if (r.rank() > spec.tier().rank()) {
                out.add(r);
            }
        }
        return out;
    }

    private static boolean fits(EngineSlot slot, RequestSpec spec, Set<String> without, long nowMs) {
        boolean slotFree = slot.running().size() - without.size() + slot.othersInFlight()
                < slot.info().maxBatch();
        return slotFree && nowMs + slot.firstTokenEstimateMs(spec, without) <= spec.firstTokenDueAtMs();
    }

    private static Set<String> ids(List<Running> running) {
        Set<String> out = new HashSet<>();
        running.forEach(r -> out.add(r.spec().requestId()));
        return out;
    }
}
