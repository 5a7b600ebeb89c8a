package org.onyxhinge.router.forward;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.connection.ResponseIdentity;

/** Wire format of calls: the names and formats of the header fields that routers read and set. */
public interface CallProtocol {

    /** Parses a caller's request; the left side describes what is wrong with it. */
    Either<String, CallHead> readCall(HttpServerRequest request);

    /**
     * Writes the headers of the request to a target: the caller's headers, except hop-by-hop headers and those reserved
     * for the router, plus the fields of {@code outgoing}.
     */
    void writeCall(MultiMap callerHeaders, OutgoingCall outgoing, MultiMap out);

    /** Compares the id in the headers of a target's response with that of the request. */
    ResponseIdentity readIdentity(MultiMap headers, String requestId);

    /** Parses the head of a target's response to the request {@code requestId}. */
    ResponseHead readResponse(int status, MultiMap headers, String requestId);
}
