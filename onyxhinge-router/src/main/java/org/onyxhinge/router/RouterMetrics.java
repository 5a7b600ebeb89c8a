package org.onyxhinge.router;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.runtime.LatencyHistogram;
import org.onyxhinge.runtime.StatusEndpoints;

/**
 * The router's metrics: goodput by tier (responses delivered completely and in time), wasted prefill
 * (prompt tokens of dispatched requests without a complete response; an upper bound, because the router
 * cannot see the engine's prefix cache), refusals by reason, and latencies by tier. Thread-safe.
 */
public final class RouterMetrics {

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, LatencyHistogram> firstTokenLatencyByTier = new ConcurrentHashMap<>();
    private final Map<String, LatencyHistogram> interTokenLatencyByTier = new ConcurrentHashMap<>();
    private final LatencyHistogram dispatchDelay = LatencyHistogram.create();
    private final LatencyHistogram addedLatency = LatencyHistogram.create();

    /** Returns the underlying Dropwizard registry. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Counts a request that arrived. */
    public void received() {
        registry.meter("requests.received").mark();
    }

    /** Counts a request that was refused or cancelled. */
    public void refused(RefusalReason reason) {
        registry.meter("requests.refused." + reason.name()).mark();
    }

    /** Counts a completely delivered response; {@code inTime} is true if it met the time budgets of its tier. */
    public void delivered(String tier, boolean inTime) {
        registry.counter("delivered." + tier).inc();
        if (inTime) {
            registry.counter("goodput." + tier).inc();
        }
    }

    /** Counts prompt tokens that an engine processed for a response that was not completely delivered. */
    public void wastedPrefill(int tokens) {
        registry.counter("prefill.wasted.tokens").inc(tokens);
    }

    /** Records the time from the arrival of a request to its first token, in microseconds. */
    public void firstTokenLatency(String tier, long us) {
        firstTokenLatencyByTier
                .computeIfAbsent(tier, t -> LatencyHistogram.create())
                .recordUs(us);
    }

    /** Records the time between two consecutive tokens of a response, in microseconds. */
    public void interTokenLatency(String tier, long us) {
        interTokenLatencyByTier
                .computeIfAbsent(tier, t -> LatencyHistogram.create())
                .recordUs(us);
    }

    /**
     * Records the time from the arrival of a request until it is sent to its engine, in microseconds. This
     * includes the time in the router's queue.
     */
    public void dispatchDelay(long us) {
        dispatchDelay.recordUs(us);
    }

    /**
     * Records the latency that the router itself adds, in microseconds: validation, idempotency claim,
     * scheduling decision and connect, without the time in its queue.
     */
    public void addedLatency(long us) {
        addedLatency.recordUs(us);
    }

    /** Returns all metrics as JSON, for the state dump and the load tool. */
    public JsonObject toJson() {
        JsonObject out = StatusEndpoints.toJson(registry);
        JsonObject first = new JsonObject();
        new TreeMap<>(firstTokenLatencyByTier).forEach((t, l) -> first.put(t, l.summary()));
        JsonObject gaps = new JsonObject();
        new TreeMap<>(interTokenLatencyByTier).forEach((t, l) -> gaps.put(t, l.summary()));
        return out.put("firstTokenByTier", first)
                .put("gapByTier", gaps)
                .put("dispatchDelay", dispatchDelay.summary())
                .put("addedLatency", addedLatency.summary());
    }
}
