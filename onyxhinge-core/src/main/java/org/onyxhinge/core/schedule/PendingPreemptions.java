package org.onyxhinge.core.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.onyxhinge.core.model.RequestSpec;

/** Requests that wait for another router to preempt a lower-tier request on an engine. */
final class PendingPreemptions {

    /**
     * Minimum time to wait for an agent, which normally answers within a few ms; after that, the agent or the other
     * router may be unavailable.
     */
    private static final long MIN_ANSWER_TIMEOUT_MS = 150;

    /**
     * Fraction of the remaining first-token budget that one engine's agent may use to answer before the next engine is
     * tried.
     */
    private static final double BUDGET_FRACTION = 0.5;

    private final Map<String, Pending> byRequest = new LinkedHashMap<>();

    /**
     * A waiting request.
     *
     * @param spec the request
     * @param engineId the engine on which preemption was requested
     * @param askedAtMs when the engine's agent was asked
     */
    record Pending(RequestSpec spec, String engineId, long askedAtMs) {

        private long timesOutAtMs() {
            double budgetMs = BUDGET_FRACTION * (spec.firstTokenDueAtMs() - askedAtMs);
            return askedAtMs + Math.max(MIN_ANSWER_TIMEOUT_MS, (long) budgetMs);
        }
    }

    void add(RequestSpec spec, String engineId, long nowMs) {
        byRequest.put(spec.requestId(), new Pending(spec, engineId, nowMs));
    }

    /** Removes a waiting request; null when it is not waiting here. */
    Pending remove(String requestId) {
        return byRequest.remove(requestId);
    }

    /** Requests whose agent did not answer within the timeout. */
    List<String> timedOut(long nowMs) {
        return byRequest.values().stream()
                .filter(pending -> nowMs > pending.timesOutAtMs())
                .map(pending -> pending.spec().requestId())
                .toList();
    }
}
