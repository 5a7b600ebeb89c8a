package org.onyxhinge.router;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.runtime.Latency;
import org.onyxhinge.runtime.StatusEndpoints;

/**
 * The router's measures, safe from any thread: goodput by tier (answers delivered whole and in time),
 * wasted prefill (prompt tokens of dispatched requests that delivered no whole answer, an upper
 * bound, since the router cannot see the engine's cache), refusals by reason, and latencies by tier.
 */
public final class RouterMetrics {

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, Latency> firstTokenByTier = new ConcurrentHashMap<>();
    private final Map<String, Latency> gapByTier = new ConcurrentHashMap<>();
    private final Latency dispatchDelay = Latency.create();
    private final Latency addedLatency = Latency.create();

    /** The Dropwizard registry behind these measures. */
    public MetricRegistry registry() {
        return registry;
    }

    /** A request arrived. */
    public void received() {
        registry.meter("requests.received").mark();
    }

    /** A request was refused or stopped. */
    public void refused(RefusalReason reason) {
        registry.meter("requests.refused." + reason.name()).mark();
    }

    /** A whole answer was delivered; {@code inTime} when it met its tier's budgets. */
    public void delivered(String tier, boolean inTime) {
        registry.counter("delivered." + tier).inc();
        if (inTime) {
            registry.counter("goodput." + tier).inc();
        }
    }

    /** Prompt tokens an engine worked on for an answer that was not delivered whole. */
    public void wastedPrefill(int tokens) {
        registry.counter("prefill.wasted.tokens").inc(tokens);
    }

    /** Time from arrival to first token. */
    public void firstToken(String tier, long us) {
        firstTokenByTier.computeIfAbsent(tier, t -> Latency.create()).recordUs(us);
    }

    /** Time between two tokens of one answer. */
    public void gap(String tier, long us) {
        gapByTier.computeIfAbsent(tier, t -> Latency.create()).recordUs(us);
    }

    /** Time from arrival to the request being sent to its engine, waiting in the router's queue included. */
    public void dispatchDelay(long us) {
        dispatchDelay.recordUs(us);
    }

    /** Time the router itself added: check, claim, decide, connect; waiting in its queue not included. */
    public void addedLatency(long us) {
        addedLatency.recordUs(us);
    }

    /** Everything as JSON, for the state dump and the load tool. */
    public JsonObject toJson() {
        JsonObject out = StatusEndpoints.toJson(registry);
        JsonObject first = new JsonObject();
        new TreeMap<>(firstTokenByTier).forEach((t, l) -> first.put(t, l.summary()));
        JsonObject gaps = new JsonObject();
        new TreeMap<>(gapByTier).forEach((t, l) -> gaps.put(t, l.summary()));
        return out.put("firstTokenByTier", first)
                .put("gapByTier", gaps)
                .put("dispatchDelay", dispatchDelay.summary())
                .put("addedLatency", addedLatency.summary());
    }
}
