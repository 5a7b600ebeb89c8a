package org.onyxhinge.runtime;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * HTTP handler for the status endpoints of every onyxhinge process: {@code GET /healthz} (200 while it
 * accepts work, 503 while draining), {@code GET /metrics} (Dropwizard metrics as JSON) and
 * {@code GET /debug/state} (the state dump, created for each request).
 */
public final class StatusEndpoints implements Handler<HttpServerRequest> {

    /** Path of the state dump. */
    public static final String STATE_PATH = "/debug/state";

    private static final String HEALTH_PATH = "/healthz";
    private static final String METRICS_PATH = "/metrics";

    /** All status paths. */
    public static final List<String> PATHS = List.of(HEALTH_PATH, METRICS_PATH, STATE_PATH);

    private final MetricRegistry metrics;
    private final Supplier<Future<JsonObject>> state;
    private final Supplier<Boolean> healthy;

    private StatusEndpoints(MetricRegistry metrics, Supplier<Future<JsonObject>> state, Supplier<Boolean> healthy) {
        this.metrics = metrics;
        this.state = state;
        this.healthy = healthy;
    }

    /** Creates the handler; it answers 404 for other paths. */
    public static StatusEndpoints create(
            MetricRegistry metrics, Supplier<Future<JsonObject>> state, Supplier<Boolean> healthy) {
        return new StatusEndpoints(metrics, state, healthy);
    }

    @Override
    public void handle(HttpServerRequest req) {
        switch (req.path()) {
            case HEALTH_PATH ->
                req.response().setStatusCode(healthy.get() ? 200 : 503).end(healthy.get() ? "ok\n" : "draining\n");
            case METRICS_PATH -> respond(req, toJson(metrics));
            case STATE_PATH ->
                state.get()
                        .onSuccess(dump -> respond(
                                req, dump.put("usage", ProcessUsage.now().toJson())))
                        .onFailure(e -> req.response().setStatusCode(500).end(e.getMessage() + "\n"));
            default -> req.response().setStatusCode(404).end();
        }
    }

    private static void respond(HttpServerRequest req, JsonObject body) {
        req.response().putHeader("content-type", "application/json").end(body.encodePrettily());
    }

    /** The counters, meters and gauges of a registry as a JSON object. */
    public static JsonObject toJson(MetricRegistry metrics) {
        JsonObject out = new JsonObject();
        for (Map.Entry<String, Counter> e : metrics.getCounters().entrySet()) {
            out.put(e.getKey(), e.getValue().getCount());
        }
        for (Map.Entry<String, Meter> e : metrics.getMeters().entrySet()) {
            out.put(
                    e.getKey(),
                    new JsonObject()
                            .put("count", e.getValue().getCount())
                            .put("m1Rate", e.getValue().getOneMinuteRate()));
        }
        for (Map.Entry<String, Gauge> e : metrics.getGauges().entrySet()) {
            out.put(e.getKey(), String.valueOf(e.getValue().getValue()));
        }
        return out;
    }
}
