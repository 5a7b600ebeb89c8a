package org.onyxhinge.core.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A copy of the scheduler's state for the state dump.
 *
 * @param engines all known engines
 * @param queuedByPool requests queued in the router, by pool
 * @param inFlightByWorkspace requests queued or running, by workspace
 */
public record SchedulerSnapshot(
        List<Engine> engines, Map<String, Integer> queuedByPool, Map<String, Integer> inFlightByWorkspace) {

    /**
     * The state of one engine as seen by the scheduler.
     *
     * @param engineId the engine
     * @param pool its pool
     * @param ownInFlight requests of this router running there
     * @param othersInFlight requests of other routers running there, from the last report
     * @param draining true once the engine is draining
     * @param slowness observed slowdown factor against the announced speed, at least 1
     * @param lastSeenAtMs time of the last report from its agent
     */
    public record Engine(
            String engineId,
            String pool,
            int ownInFlight,
            int othersInFlight,
            boolean draining,
            double slowness,
            long lastSeenAtMs) {

        private static Engine of(EngineState s) {
            return new Engine(
                    s.id(),
                    s.info().pool(),
                    s.ownInFlight(),
                    s.othersInFlight(),
                    s.draining(),
                    s.slowness(),
                    s.lastSeenAtMs());
        }
    }

    static SchedulerSnapshot of(EngineTable table, TierQueues queues, RequestTracker tracker) {
        List<Engine> engines = table.all().stream()
                .map(Engine::of)
                .sorted(Comparator.comparing(Engine::engineId))
                .toList();
        Map<String, Integer> queued = new TreeMap<>();
        queues.forEachPool(e -> queued.put(e.getKey(), e.getValue()));
        return new SchedulerSnapshot(engines, queued, new TreeMap<>(tracker.inFlightByWorkspace()));
    }
}
