package org.onyxhinge.runtime.server;

import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/** The HTTP server of a process's status, which has connections and memory of its own. */
public final class StatusServer {

    private static final int MAX_HEAD_BYTES = 8_192;
    private static final long HEAD_TIMEOUT_MS = 5_000;
    private static final long IDLE_TIMEOUT_MS = 10_000;

    private StatusServer() {}

    /**
     * Starts a server; called on the event loop that its requests are handled on.
     *
     * @param counter counts events about connections by their names
     */
    public static Future<HttpServer> listen(
            Vertx vertx, String host, int port, Consumer<String> counter, Handler<HttpServerRequest> handler) {
        ServerLimits limits = ServerLimits.of(MAX_HEAD_BYTES, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS);
        ServerConnections connections = ServerConnections.create(
                ServerCapacity.ofStatus(),
                () -> limits,
                ServerEvents.counting(name -> counter.accept("status." + name)));
        connections.sweepPeriodically(vertx);
        return vertx.createHttpServer(ServerConnections.serverOptions())
                .connectionHandler(connections::opened)
                .requestHandler(handler)
                .listen(port, host);
    }
}
