package org.onyxhinge.router.forward;

import io.vertx.core.http.HttpServerOptions;

/** Options of the HTTP server that callers connect to. */
final class CallerServerOptions {

    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int ACCEPT_BACKLOG = 1_024;

    private CallerServerOptions() {}

    static HttpServerOptions create() {
        return new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setTcpNoDelay(true)
                .setCompressionSupported(false)
                // Only HTTP/1.1 is served. Every additional handler is code that a fresh process first runs
                // interpreted.
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
    }
}
