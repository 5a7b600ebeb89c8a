package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.model.RequestSpec;

/**
 * Selects lower-tier requests whose preemption lets a higher-tier request start in time, at the least cost in wasted
 * prefill: stopping a request that has finished its prefill wastes all of it, so requests without a first token are
 * stopped first.
 */
final class Preemption {

    private Preemption() {}

    /** Lower-tier requests on one engine whose preemption frees enough capacity. */
    record Plan(EngineState engine, List<RunningRequest> victims, long wastedPrefillTokens) {}

    /** The plan for {@code spec} that wastes the fewest prefill tokens on any of {@code live}, if there is one. */
    static Optional<Plan> cheapestPlan(List<EngineState> live, RequestSpec spec, long nowMs) {
        Plan best = null;
        for (EngineState engine : live) {
            Plan plan = planFor(engine, spec, nowMs);
            if (plan != null && (best == null || plan.wastedPrefillTokens() < best.wastedPrefillTokens())) {
                best = plan;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * True when stopping all lower-tier requests of this router on one engine would let {@code spec} start in time.
     */
    static boolean preemptionCouldHelp(List<EngineState> live, RequestSpec spec, long nowMs) {
        for (EngineState engine : live) {
            List<RunningRequest> lower = lowerTier(engine, spec);
            if (!lower.isEmpty() && fits(engine, spec, ids(lower), nowMs)) {
                return true;
            }
        }
        return false;
    }

    /**
     * This router's request of the lowest tier below {@code rank} on an engine; within a tier, the one with the least
     * wasted prefill.
     */
    static Optional<RunningRequest> leastImportantBelow(EngineState engine, int rank) {
        return engine.running().stream().filter(r -> r.rank() > rank).min(victimOrder(engine));
    }

    private static Comparator<RunningRequest> victimOrder(EngineState engine) {
        return Comparator.comparingInt(RunningRequest::rank)
                .reversed()
                .thenComparingLong(engine::lostPrefillTokens)
                .thenComparing(
                        Comparator.comparingLong(RunningRequest::dispatchedAtMs).reversed());
    }

    private static Plan planFor(EngineState engine, RequestSpec spec, long nowMs) {
        List<RunningRequest> lower = lowerTier(engine, spec);
        lower.sort(victimOrder(engine));
        Set<String> excluded = new HashSet<>();
        long wasted = 0;
        for (int i = 0; i < lower.size(); i++) {
            excluded.add(lower.get(i).spec().requestId());
            wasted += engine.lostPrefillTokens(lower.get(i));
            if (fits(engine, spec, excluded, nowMs)) {
                return new Plan(engine, List.copyOf(lower.subList(0, i + 1)), wasted);
            }
        }
        return null;
    }

    private static List<RunningRequest> lowerTier(EngineState engine, RequestSpec spec) {
        List<RunningRequest> out = new ArrayList<>();
        for (RunningRequest r : engine.running()) {
            if (r.rank() > spec.tier().rank()) {
                out.add(r);
            }
        }
        return out;
    }

    private static boolean fits(EngineState engine, RequestSpec spec, Set<String> excluded, long nowMs) {
        boolean slotFree = engine.running().size() - excluded.size() + engine.othersInFlight()
                < engine.info().maxBatch();
        return slotFree && nowMs + engine.firstTokenEstimateMs(spec, excluded) <= spec.firstTokenDueAtMs();
    }

    private static Set<String> ids(List<RunningRequest> running) {
        Set<String> out = new HashSet<>();
        running.forEach(r -> out.add(r.spec().requestId()));
        return out;
    }
}
