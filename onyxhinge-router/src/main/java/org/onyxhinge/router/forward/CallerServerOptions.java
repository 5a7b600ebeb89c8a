package org.onyxhinge.router.forward;

import io.vertx.core.http.HttpServerOptions;
import org.onyxhinge.runtime.server.ServerConnections;

/** Options of the HTTP server that callers connect to. */
final class CallerServerOptions {

    private static final int ACCEPT_BACKLOG = 1_024;

    private CallerServerOptions() {}

    static HttpServerOptions create() {
        // Every additional handler is code that a fresh process first runs interpreted.
        return ServerConnections.serverOptions()
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setCompressionSupported(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
    }
}
