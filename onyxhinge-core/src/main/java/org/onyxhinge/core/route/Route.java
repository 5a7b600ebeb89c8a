package org.onyxhinge.core.route;

import java.util.List;

/**
 * Where calls to a host and path go and what may be done with them.
 *
 * @param name operator-chosen name
 * @param host the host it belongs to, lower case, without port
 * @param pathPrefix path prefix, beginning and ending with a slash
 * @param kind what may be repeated
 * @param resumable whether a broken stream may go on at another target after its last event
 * @param keyless whether it is open to callers without an API key
 * @param priority rank, 0 the most urgent
 * @param timeoutMs longest time a caller is kept waiting for the whole answer
 * @param targetLatencyMs time within which the answer, or its first event, is on time
 * @param gapTargetMs longest pause between events of a stream on time; 0 for other kinds
 * @param maxAttempts most targets one call may be sent to
 * @param shares services it leads to, with weights
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        boolean resumable,
        boolean keyless,
        int priority,
        long timeoutMs,
        long targetLatencyMs,
        long gapTargetMs,
        int maxAttempts,
        List<ServiceShare> shares) {

    /** Checks the ranges; throws {@link IllegalArgumentException} naming the route and the bad field. */
    public Route {
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "route " + name + ": path prefix must begin and end with a slash: " + pathPrefix);
        }
        if (timeoutMs <= 0 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + ": timeout and attempts must be positive");
        }
        if (shares.stream().mapToInt(ServiceShare::weight).sum() <= 0) {
            throw new IllegalArgumentException("route " + name + ": no service has a weight");
        }
        shares = List.copyOf(shares);
    }

    /** True when a call whose answer has begun, or may have begun, may be sent to another target. */
    public boolean repeatable() {
        return kind == CallKind.IDEMPOTENT || kind == CallKind.STREAM && resumable;
    }

    /**
     * Picks a service by weight.
     *
     * @param draw a number from 0 up to, not including, 1
     */
    public String pick(double draw) {
        int total = 0;
        for (ServiceShare s : shares) {
            total += s.weight();
        }
        double left = draw * total;
        for (ServiceShare s : shares) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return shares.getLast().service();
    }
}
