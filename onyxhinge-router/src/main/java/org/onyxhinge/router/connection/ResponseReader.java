package org.onyxhinge.router.connection;

import io.vertx.core.MultiMap;
import org.onyxhinge.core.connection.ResponseIdentity;

/** Reads from the head of a response which call it names. */
@FunctionalInterface
public interface ResponseReader {

    /** Compares the id in a response's headers with that of the call. */
    ResponseIdentity read(MultiMap headers);
}
