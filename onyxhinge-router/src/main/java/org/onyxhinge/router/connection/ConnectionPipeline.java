package org.onyxhinge.router.connection;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.Optional;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import org.onyxhinge.wire.http.StrictResponses;

/**
 * Adds handlers to HTTP connections. Vert.x has no interface for that, so this reads the connection's channel from a
 * private field of the Vert.x version that the project is built with.
 */
final class ConnectionPipeline {

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16_384;

    private static final VarHandle CONNECTION = connectionField();

    private ConnectionPipeline() {}

    private static VarHandle connectionField() {
        try {
            return MethodHandles.privateLookupIn(UnpooledHttpClientConnection.class, MethodHandles.lookup())
                    .findVarHandle(UnpooledHttpClientConnection.class, "actual", HttpClientConnectionInternal.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** Closes a connection without writing what is buffered, unlike {@link HttpConnection#close} and its channel. */
    static void closeAtOnce(HttpConnection connection) {
        http(connection).channelHandlerContext().close();
    }

    /** Adds a handler that gets the decoded messages of a connection before the HTTP client does. */
    static void addBeforeClient(HttpConnection connection, ChannelHandler handler) {
        ChannelHandlerContext client = http(connection).channelHandlerContext();
        client.pipeline().addBefore(client.name(), handler.getClass().getName(), handler);
    }

    /** Adds a handler that keeps from the decoder of a new connection what is no response. */
    static StrictResponses addStrictResponses(HttpConnection connection) {
        return StrictResponses.addTo(http(connection).channelHandlerContext());
    }

    /** Reads a connection, from which nothing has been read, in parts that are smaller than by default. */
    static void readInSmallParts(HttpConnection connection) {
        http(connection)
                .channelHandlerContext()
                .channel()
                .config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
    }

    /** The gate of a connection to which one was added; empty once the connection is closed. */
    static Optional<ResponseGate> gate(HttpConnection connection) {
        return Optional.ofNullable(
                http(connection).channelHandlerContext().pipeline().get(ResponseGate.class));
    }

    private static HttpClientConnectionInternal http(HttpConnection connection) {
        return connection instanceof HttpClientConnectionInternal http
                ? http
                : (HttpClientConnectionInternal) CONNECTION.get(connection);
    }
}
