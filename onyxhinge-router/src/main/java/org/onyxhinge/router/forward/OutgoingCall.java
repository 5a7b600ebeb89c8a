package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;

/**
 * What the router says of a call to the target it sends it to.
 *
 * @param targetId the target that is meant; another one at its address must not run it
 * @param deadlineLeftMs how long the caller will still wait
 * @param workspace the caller's workspace; empty on keyless routes
 * @param lastEventId the last event the caller has; the answer goes on after it
 */
public record OutgoingCall(
        String targetId, long deadlineLeftMs, Optional<String> workspace, Optional<String> lastEventId) {

    /** Fills in what is sent to the target: the caller's request, unchanged but for what is set here. */
    void write(HttpServerRequest request, CallProtocol protocol, RequestOptions options) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        options.setMethod(request.method()).setURI(request.uri()).setHeaders(headers);
        protocol.writeCall(request.headers(), this, headers);
    }
}
