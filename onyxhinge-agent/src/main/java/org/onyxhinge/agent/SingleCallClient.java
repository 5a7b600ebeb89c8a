package org.onyxhinge.agent;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import org.onyxhinge.wire.http.StrictResponses;

/**
 * The HTTP client of an agent. The responses of targets and of the VM list name no request, so each request has a
 * connection of its own: on a kept one, a second response to an earlier request would be taken for that to the next.
 */
final class SingleCallClient {

    private SingleCallClient() {}

    /** Creates a client that closes each connection after one response, and on what is no response. */
    static HttpClient create(Vertx vertx) {
        return vertx.httpClientBuilder()
                .with(new HttpClientOptions().setKeepAlive(false))
                .withConnectHandler(StrictResponses::addTo)
                .build();
    }
}
