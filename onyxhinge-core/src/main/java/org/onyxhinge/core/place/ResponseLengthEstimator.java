package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the number of events in a response, per route. Callers' limits are often far above the actual length, so
 * the length is learned. If the caller supplies an estimate, it is scaled by the recent ratio of actual to estimated
 * length.
 */
public final class ResponseLengthEstimator {

    /** Weight of the newest response. Lengths vary widely, so the average spans about 50 responses. */
    private static final double SMOOTHING_FACTOR = 0.02;

    private static final double INITIAL_EVENTS = 30;

    /** Events per estimated token, until the first response has ended. */
    private static final double INITIAL_EVENTS_PER_TOKEN = 0.2;

    private final Map<String, RouteAverages> byRoute = new HashMap<>();

    /** Moving averages of a route: all responses, and those whose callers supplied an estimate. */
    private static final class RouteAverages {
        private double meanEvents = INITIAL_EVENTS;
        private double meanEventsWithEstimate = INITIAL_EVENTS;
        private double meanEstimatedTokens = INITIAL_EVENTS / INITIAL_EVENTS_PER_TOKEN;
    }

    /**
     * Returns the expected number of events in a response of a route.
     *
     * @param expectedTokens the caller's estimate; 0 for none
     */
    public long expectedEvents(String route, long expectedTokens) {
        RouteAverages recent = byRoute.computeIfAbsent(route, r -> new RouteAverages());
        return expectedTokens <= 0
                ? Math.round(recent.meanEvents)
                : Math.max(1, Math.round(expectedTokens * recent.meanEventsWithEstimate / recent.meanEstimatedTokens));
    }

    /** Forgets all routes but those given. */
    public void retain(Set<String> routes) {
        byRoute.keySet().retainAll(routes);
    }

    /** Number of routes whose responses are known. */
    public int size() {
        return byRoute.size();
    }

    /** Records a response that completed. */
    public void ended(String route, int meanEvents, long expectedTokens) {
        RouteAverages recent = byRoute.computeIfAbsent(route, r -> new RouteAverages());
        recent.meanEvents += SMOOTHING_FACTOR * (meanEvents - recent.meanEvents);
        if (expectedTokens > 0) {
            recent.meanEventsWithEstimate += SMOOTHING_FACTOR * (meanEvents - recent.meanEventsWithEstimate);
            recent.meanEstimatedTokens += SMOOTHING_FACTOR * (expectedTokens - recent.meanEstimatedTokens);
        }
    }
}
