package org.onyxhinge.core.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.onyxhinge.core.model.RequestSpec;

/** Requests that wait for another router to make room on an engine. */
final class RoomAsks {

    /** An agent answers within a few ms; beyond this it, or the other router, may be away. */
    private static final long SHORTEST_WAIT_MS = 150;

    /** Part of the time to a request's first token in which one engine's agent may answer; then the next is asked. */
    private static final double PART_OF_BUDGET = 0.5;

    private final Map<String, Ask> byRequest = new LinkedHashMap<>();

    /**
     * A request that waits.
     *
     * @param spec the request
     * @param engineId the engine it wants room on
     * @param askedAtMs when the engine's agent was asked
     */
    record Ask(RequestSpec spec, String engineId, long askedAtMs) {

        private long endsAtMs() {
            double partMs = PART_OF_BUDGET * (spec.firstTokenDueAtMs() - askedAtMs);
            return askedAtMs + Math.max(SHORTEST_WAIT_MS, (long) partMs);
        }
    }

    void add(RequestSpec spec, String engineId, long nowMs) {
        byRequest.put(spec.requestId(), new Ask(spec, engineId, nowMs));
    }

    /** Takes a request out; null when it does not wait here. */
    Ask remove(String requestId) {
        return byRequest.remove(requestId);
    }

    /** Requests whose question has gone unanswered too long. */
    List<String> unanswered(long nowMs) {
        return byRequest.values().stream()
                .filter(ask -> nowMs > ask.endsAtMs())
                .map(ask -> ask.spec().requestId())
                .toList();
    }
}
