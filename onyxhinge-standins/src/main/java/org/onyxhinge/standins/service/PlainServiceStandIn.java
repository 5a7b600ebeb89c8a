package org.onyxhinge.standins.service;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A stand-in for a plain service with non-idempotent calls, such as a print instruction. {@code POST
 * /v1/calls/NAME} executes a call after {@code latencyMs} and returns a JSON body. Executions are counted
 * by {@code Idempotency-Key} header, so {@code GET /stats} shows the executed keys and any duplicates.
 */
public final class PlainServiceStandIn implements AutoCloseable {

    private final Vertx vertx;
    private final long latencyMs;
    private final Map<String, AtomicLong> executions = new ConcurrentHashMap<>();
    private final AtomicLong total = new AtomicLong();
    private HttpServer server;

    private PlainServiceStandIn(Vertx vertx, long latencyMs) {
        this.vertx = vertx;
        this.latencyMs = latencyMs;
    }

    /** Starts the service on {@code host:port} (0 for any free port). */
    public static Future<PlainServiceStandIn> start(Vertx vertx, String host, int port, long latencyMs) {
        PlainServiceStandIn s = new PlainServiceStandIn(vertx, latencyMs);
        s.server = vertx.createHttpServer().requestHandler(s::handle);
        return s.server.listen(port, host).map(s);
    }

    /** The port on which it listens. */
    public int port() {
        return server.actualPort();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpServerRequest req) {
        if (req.path().startsWith("/v1/calls/") && req.method().name().equals("POST")) {
            req.body().onSuccess(body -> vertx.setTimer(Math.max(1, latencyMs), t -> execute(req, body.toString())));
        } else if (req.path().equals("/stats")) {
            req.response().putHeader("content-type", "application/json").end(stats().encode());
        } else if (req.path().equals("/load")) {
            req.response()
                    .putHeader("content-type", "application/json")
                    .end(new JsonObject().put("running", 0).encode());
        } else {
            req.response().setStatusCode(404).end();
        }
    }

    private void execute(HttpServerRequest req, String body) {
        String key = req.getHeader("idempotency-key") == null ? "" : req.getHeader("idempotency-key");
        long execution = executions.computeIfAbsent(key, k -> new AtomicLong()).incrementAndGet();
        total.incrementAndGet();
        String call = req.path().substring("/v1/calls/".length());
        req.response()
                .putHeader("content-type", "application/json")
                .end(new JsonObject()
                        .put("call", call)
                        .put("key", key)
                        .put("execution", execution)
                        .put("bodyBytes", body.length())
                        .encode());
    }

    private JsonObject stats() {
        long repeated = executions.entrySet().stream()
                .filter(e -> !e.getKey().isEmpty() && e.getValue().get() > 1)
                .count();
        return new JsonObject()
                .put("executions", total.get())
                .put("keysRunTwice", repeated)
                .put("keys", new JsonArray(executions.keySet().stream().sorted().toList()));
    }
}
