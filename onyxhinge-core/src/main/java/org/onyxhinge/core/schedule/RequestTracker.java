package org.onyxhinge.core.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.model.RequestSpec;

/**
 * Tracks the requests of one router: the number in flight per workspace, the engine that runs each request, the send
 * attempts per request, and the dispatches made.
 */
final class RequestTracker {

    private final EngineTable engines;
    private final Map<String, String> engineByRequest = new HashMap<>();
    private final Map<String, Integer> sendAttemptsByRequest = new HashMap<>();
    private final Map<String, Integer> inFlightByWorkspace = new HashMap<>();
    private final DispatchHistory dispatched = new DispatchHistory();

    RequestTracker(EngineTable engines) {
        this.engines = engines;
    }

    int inFlight(String workspace) {
        return inFlightByWorkspace.getOrDefault(workspace, 0);
    }

    /** Requests in flight by workspace, for the state dump. */
    Map<String, Integer> inFlightByWorkspace() {
        return inFlightByWorkspace;
    }

    /** Counts a request that is queued, running or waiting for a preemption. */
    void addInFlight(RequestSpec spec) {
        inFlightByWorkspace.merge(spec.workspace(), 1, Integer::sum);
    }

    /** Removes a request from the in-flight count. */
    void removeInFlight(RequestSpec spec) {
        inFlightByWorkspace.computeIfPresent(spec.workspace(), (w, n) -> n <= 1 ? null : n - 1);
    }

    /** The engine that runs a request, or null. */
    EngineState engineOf(String requestId) {
        String engineId = engineByRequest.get(requestId);
        return engineId == null ? null : engines.get(engineId);
    }

    Action dispatch(RequestSpec spec, EngineState engine, long nowMs) {
        dispatched.record(spec.requestId());
        engine.add(new RunningRequest(
                spec,
                engine.id(),
                nowMs,
                engine.nominalFirstTokenMs(spec, Set.of()),
                engine.nominalServiceMs(spec),
                false));
        engineByRequest.put(spec.requestId(), engine.id());
        return new Action.Dispatch(spec, engine.info());
    }

    Action stop(EngineState engine, RunningRequest r, Refusal refusal) {
        String requestId = r.spec().requestId();
        engine.remove(requestId);
        engineByRequest.remove(requestId);
        sendAttemptsByRequest.remove(requestId);
        removeInFlight(r.spec());
        return new Action.Cancel(requestId, r.engineId(), refusal);
    }

    /** Reverts the dispatch of a request that was never sent; returns the number of send attempts so far. */
    int undoDispatch(RunningRequest r) {
        String requestId = r.spec().requestId();
        engineByRequest.remove(requestId);
        removeInFlight(r.spec());
        dispatched.undoDispatch(requestId);
        return sendAttemptsByRequest.merge(requestId, 1, Integer::sum);
    }

    /** Discards the send attempts of a request that has its final answer. */
    void clearSendAttempts(String requestId) {
        sendAttemptsByRequest.remove(requestId);
    }

    /** Removes an ended request from its engine; null when no engine runs it. */
    RunningRequest end(String requestId) {
        EngineState engine = engineOf(requestId);
        engineByRequest.remove(requestId);
        RunningRequest r = engine == null ? null : engine.remove(requestId);
        if (r != null) {
            removeInFlight(r.spec());
        }
        return r;
    }

    /** The least important running request of a workspace among those of a lower tier than {@code spec}. */
    Optional<RunningRequest> leastImportantRunning(RequestSpec spec) {
        return engines.all().stream()
                .flatMap(engine -> engine.running().stream())
                .filter(r -> r.spec().workspace().equals(spec.workspace()))
                .filter(r -> r.rank() > spec.tier().rank())
                .max(Comparator.comparingInt(RunningRequest::rank)
                        .thenComparing(r -> !r.firstTokenSeen())
                        .thenComparingLong(RunningRequest::dispatchedAtMs));
    }
}
