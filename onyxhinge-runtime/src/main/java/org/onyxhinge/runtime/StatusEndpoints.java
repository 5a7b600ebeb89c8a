package org.onyxhinge.runtime;

import java.util.Map;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;

/**
 * The status paths every onyxhinge process serves: {@code GET /healthz} (200 while it takes work,
 * 503 while draining), {@code GET /metrics} (Dropwizard metrics as JSON) and {@code GET /debug/state}
 * (the state dump).
 */
public final class StatusEndpoints {

    /** Path of the state dump. */
    public static final String STATE_PATH = "/debug/state";

    private StatusEndpoints() {}

    /** Adds the status paths to a Vert.x web router; {@code state} builds the dump each time it is asked for. */
    public static void mount(
            Router router, MetricRegistry metrics, Supplier<Future<JsonObject>> state, Supplier<Boolean> healthy) {
        router.get("/healthz")
                .handler(ctx -> ctx.response()
                        .setStatusCode(healthy.get() ? 200 : 503)
                        .end(healthy.get() ? "ok\n" : "draining\n"));
        router.get("/metrics")
                .handler(ctx -> ctx.response()
                        .putHeader("content-type", "application/json")
                        .end(toJson(metrics).encodePrettily()));
        router.get(STATE_PATH)
                .handler(ctx -> state.get()
                        .onSuccess(dump -> ctx.response()
                                .putHeader("content-type", "application/json")
                                .end(dump.put("usage", ProcessUsage.now().toJson())
                                        .encodePrettily()))
                        .onFailure(ctx::fail));
    }

    /** Counters, meters and gauges of a registry as one JSON object. */
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
