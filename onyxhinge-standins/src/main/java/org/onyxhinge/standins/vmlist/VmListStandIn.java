package org.onyxhinge.standins.vmlist;

import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * A stand-in for the platform's list of live and leaving VMs, which is updated with a delay: {@code POST
 * /vms/ID?state=leaving} is visible in {@code GET /vms} and {@code GET /vms/ID} only after {@code lagMs}.
 * A VM without a recorded state is live.
 */
public final class VmListStandIn implements AutoCloseable {

    private static final String LIVE = "live";

    private final Vertx vertx;
    private final long lagMs;
    private final Map<String, String> published = new TreeMap<>();
    private HttpServer server;

    private VmListStandIn(Vertx vertx, long lagMs) {
        this.vertx = vertx;
        this.lagMs = lagMs;
    }

    /** Starts the list on {@code host:port} (0 for any free port). */
    public static Future<VmListStandIn> start(Vertx vertx, String host, int port, long lagMs) {
        VmListStandIn list = new VmListStandIn(vertx, lagMs);
        list.server = vertx.createHttpServer().requestHandler(list::handle);
        return list.server.listen(port, host).map(list);
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
        String id = req.path().startsWith("/vms/") ? req.path().substring("/vms/".length()) : "";
        if (req.method().name().equals("POST") && !id.isEmpty()) {
            String state = req.getParam("state", LIVE);
            vertx.setTimer(Math.max(1, lagMs), t -> published.put(id, state));
            req.response().end("ok\n");
        } else if (!id.isEmpty()) {
            respond(req, new JsonObject().put("id", id).put("state", published.getOrDefault(id, LIVE)));
        } else if (req.path().equals("/vms")) {
            JsonObject all = new JsonObject();
            published.forEach(all::put);
            respond(req, all);
        } else {
            req.response().setStatusCode(404).end();
        }
    }

    private static void respond(HttpServerRequest req, JsonObject body) {
        req.response().putHeader("content-type", "application/json").end(body.encode());
    }
}
