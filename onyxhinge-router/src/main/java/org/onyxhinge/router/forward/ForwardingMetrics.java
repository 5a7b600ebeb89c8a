package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.runtime.LatencyHistogram;

/**
 * Counters of forwarding by route and outcome, and latency distributions by service. Those of routes and services that
 * the configuration no longer has are removed; calls that end later count as {@value #OTHER}.
 */
final class ForwardingMetrics {

    /** Stands for the names of routes and services that are not configured. */
    static final String OTHER = "other";

    /** Stands for the route of a call that has none. */
    static final String NO_ROUTE = "none";

    private static final String CALLS = "calls.";
    private static final String FIRST_BYTE = "first_byte.";
    private static final String WHOLE = "whole.";

    private final MetricRegistry registry;
    private final Map<String, LatencyHistogram> latencies = new HashMap<>();
    /** Names of the counters of each route. */
    private final Map<String, Set<String>> countersByRoute = new HashMap<>();

    private Set<String> routes = Set.of();
    private Set<String> services = Set.of();

    private ForwardingMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    static ForwardingMetrics create(MetricRegistry registry) {
        return new ForwardingMetrics(registry);
    }

    /** Whether a counter belongs to a route, so that there are as many as the configuration has routes. */
    static boolean isByRoute(String name) {
        return name.startsWith(CALLS);
    }

    /** Removes what belongs to routes and services that a configuration does not have. */
    void retain(ForwardingConfig config) {
        routes = config.routeNames();
        services = config.serviceNames();
        countersByRoute.entrySet().removeIf(e -> {
            boolean gone = isRemovable(e.getKey());
            if (gone) {
                e.getValue().forEach(registry::remove);
            }
            return gone;
        });
        Set<String> gone = new HashSet<>(latencies.keySet());
        services.forEach(s -> {
            gone.remove(FIRST_BYTE + s);
            gone.remove(WHOLE + s);
        });
        gone.remove(FIRST_BYTE + OTHER);
        gone.remove(WHOLE + OTHER);
        gone.forEach(registry::remove);
        latencies.keySet().removeAll(gone);
    }

    private boolean isRemovable(String route) {
        return !routes.contains(route) && !route.equals(OTHER) && !route.equals(NO_ROUTE);
    }

    void callEnded(String route, String outcome) {
        String name = isRemovable(route) ? OTHER : route;
        String counter = CALLS + name + "." + outcome;
        countersByRoute.computeIfAbsent(name, r -> new HashSet<>()).add(counter);
        registry.counter(counter).inc();
    }

    void event(String name) {
        registry.counter(name).inc();
    }

    /** Number of events of a name since the start. */
    long count(String name) {
        return registry.counter(name).getCount();
    }

    /** Exposes a value that is read whenever the metrics are. */
    void gauge(String name, LongSupplier value) {
        registry.gauge(name, () -> value::getAsLong);
    }

    void firstByteMs(String service, long ms) {
        latency(FIRST_BYTE, service).recordUs(ms * 1_000);
    }

    void completionMs(String service, long ms) {
        latency(WHOLE, service).recordUs(ms * 1_000);
    }

    private LatencyHistogram latency(String kind, String service) {
        return latencies.computeIfAbsent(kind + (services.contains(service) ? service : OTHER), n -> {
            LatencyHistogram latency = LatencyHistogram.ofMilliseconds();
            registry.gauge(n, () -> latency::summary);
            return latency;
        });
    }
}
