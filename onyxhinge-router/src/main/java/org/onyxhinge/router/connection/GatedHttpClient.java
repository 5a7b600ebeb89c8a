package org.onyxhinge.router.connection;

import java.util.Optional;
import java.util.function.Predicate;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.jboss.logging.Logger;
import org.onyxhinge.core.connection.ResponseIdentity;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.http.StrictResponses;

/**
 * A pooled HTTP client that gives a request only the response that belongs to it, as {@link ResponseGate} decides.
 * Confined to one event loop.
 */
public final class GatedHttpClient {

    private static final Logger LOG = Logger.getLogger(GatedHttpClient.class);

    private final HttpClient client;
    /** Until when responses without proof are believed on the first request of a connection only. */
    private long surplusUntilMs = Long.MIN_VALUE;

    private GatedHttpClient(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        this.client = vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(this::connected)
                .build();
    }

    /** Creates a client that connects on first use. */
    public static GatedHttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        return new GatedHttpClient(vertx, options, pool);
    }

    private void connected(HttpConnection connection) {
        String target = String.valueOf(connection.remoteAddress());
        StrictResponses strict = ConnectionPipeline.addStrictResponses(connection);
        ConnectionPipeline.addBeforeClient(connection, new ResponseGate(strict, (what, identified) -> {
            surplusUntilMs = MonotonicClock.nowMs() + SurplusResponses.MEMORY_MS;
            LOG.warnf("surplus response target=%s what=\"%s\" identified=%b", target, what, identified);
        }));
    }

    /** Creates a request on a connection of the pool. */
    public Future<HttpClientRequest> request(RequestOptions options) {
        return client.request(options);
    }

    /**
     * Expects the response to a request that is about to be written.
     *
     * @return false if a response on its connection could be that to an earlier request. The connection has then been
     *     closed, and the request is to be created again.
     */
    public boolean expect(HttpClientRequest request, ResponseReader reader) {
        return expect(request, reader, ResponseGate::isReusable);
    }

    /** Whether no other request has been written on the connection of a request that is about to be. */
    public boolean isFirst(HttpClientRequest request) {
        return ConnectionPipeline.gate(request.connection())
                .filter(ResponseGate::isUnused)
                .isPresent();
    }

    /**
     * Expects the response to a request of a server whose responses name none. They are taken for those to its requests
     * in their order; once the server has sent surplus bytes, each request has a connection of its own for a while.
     *
     * @return as of {@link #expect}
     */
    public boolean expectInOrder(HttpClientRequest request) {
        boolean inOrder = MonotonicClock.nowMs() >= surplusUntilMs;
        ResponseIdentity identity = inOrder ? new ResponseIdentity.Own() : new ResponseIdentity.Absent();
        return expect(request, headers -> identity, gate -> gate.isUnused() || inOrder && gate.isReusable());
    }

    private static boolean expect(HttpClientRequest request, ResponseReader reader, Predicate<ResponseGate> provable) {
        HttpConnection connection = request.connection();
        Optional<ResponseGate> found = ConnectionPipeline.gate(connection).filter(provable);
        if (found.isEmpty()) {
            connection.close();
            return false;
        }
        ResponseGate gate = found.get();
        gate.expect(reader, request.getMethod() == HttpMethod.HEAD);
        request.response().compose(r -> r.end()).onSuccess(v -> {
            if (!gate.isReusable()) {
                connection.close();
            }
        });
        return true;
    }
}
