package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;

/**
 * The router's own fields of a request to a target.
 *
 * @param requestId identifies the request in its response
 * @param targetId the intended target; a different one at the same address must not execute the call
 * @param deadlineLeftMs how long the caller will still wait
 * @param workspace the caller's workspace; empty on keyless routes
 * @param lastEventId the last event that the caller received; the response continues after it
 */
public record OutgoingCall(
        String requestId,
        String targetId,
        long deadlineLeftMs,
        Optional<String> workspace,
        Optional<String> lastEventId) {

    /** Fills in the request to the target: the caller's request, with only these fields changed. */
    void write(HttpServerRequest request, CallProtocol protocol, RequestOptions options) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        options.setMethod(request.method()).setURI(request.uri()).setHeaders(headers);
        protocol.writeCall(request.headers(), this, headers);
    }
}
