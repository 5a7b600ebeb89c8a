package org.onyxhinge.router.forward;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

/** How calls are written on the wire: the names and formats of the fields that routers read and set. */
public interface CallProtocol {

    /** Reads a caller's request; the left side says what is wrong with it. */
    Either<String, CallHead> readCall(HttpServerRequest request);

    /**
     * Writes the headers of a call to a target: the caller's own, less those that are the router's to set
     * or that concern only the caller's connection, and what {@code outgoing} says.
     */
    void writeCall(MultiMap callerHeaders, OutgoingCall outgoing, MultiMap out);

    /** Reads the head of a target's answer to the call {@code requestId}. */
    AnswerHead readAnswer(int status, MultiMap headers, String requestId);
}
