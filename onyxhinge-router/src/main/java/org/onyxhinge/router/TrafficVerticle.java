package org.onyxhinge.router;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.Router;
import org.onyxhinge.router.connection.GatedHttpClient;
import org.onyxhinge.router.dispatch.Dispatcher;
import org.onyxhinge.router.http.CallerApi;
import org.onyxhinge.runtime.StatusEndpoints;
import org.onyxhinge.runtime.server.ServerConnections;
import org.onyxhinge.runtime.server.ServerEvents;

/**
 * Serves callers' traffic on one event loop, with its own HTTP client for the targets. Several instances
 * share the HTTP port.
 */
final class TrafficVerticle extends VerticleBase {

    private static final int MAX_CONNECTIONS_PER_TARGET = 256;

    private final RouterNode node;

    TrafficVerticle(RouterNode node) {
        this.node = node;
    }

    @Override
    public Future<?> start() {
        RouterSettings s = node.settings();
        GatedHttpClient client = GatedHttpClient.create(
                vertx,
                new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_TARGET));
        Dispatcher dispatcher = Dispatcher.create(client, node, node.metrics(), context);
        Router router = Router.router(vertx);
        CallerApi.mount(
                router,
                s.maxBodyBytes(),
                context,
                dispatcher,
                new CallerApi.Dependencies(node.metrics(), node::config, node::draining, node.requestIds()));
        StatusEndpoints status = StatusEndpoints.create(node.metrics().registry(), node::dump, () -> !node.draining());
        StatusEndpoints.PATHS.forEach(path -> router.get(path).handler(ctx -> status.handle(ctx.request())));
        ServerConnections connections = ServerConnections.create(
                s.callers(),
                s::callerLimits,
                ServerEvents.counting(
                        name -> node.metrics().registry().counter(name).inc()));
        connections.sweepPeriodically(vertx);
        HttpServer server = vertx.createHttpServer(ServerConnections.serverOptions());
        return server.connectionHandler(connections::opened)
                .requestHandler(router)
                .listen(s.httpPort(), s.host());
    }
}
