package org.onyxhinge.core.route;

import java.util.List;

/**
 * Forwarding rule for calls to a host and path prefix.
 *
 * @param name operator-chosen name
 * @param host the host it applies to, lower case, without port
 * @param pathPrefix path prefix, beginning and ending with a slash
 * @param kind which parts of a call may be repeated
 * @param resumable whether a broken stream may be resumed at another target after its last event
 * @param keyless whether callers need no API key
 * @param priority rank, 0 the most urgent
 * @param timeoutMs maximum time for the complete answer
 * @param targetLatencyMs time within which the answer, or its first event, is on time
 * @param gapTargetMs longest pause between events for a stream to be on time; 0 for other kinds
 * @param maxAttempts maximum number of targets a call may be sent to
 * @param shares weighted services that the route leads to
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

    /** True when a call may be sent to another target although its answer has begun or may have begun. */
    public boolean repeatable() {
        return kind == CallKind.IDEMPOTENT || kind == CallKind.STREAM && resumable;
    }

    /**
     * Selects a service by weight.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     */
    public String pickService(double draw) {
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
