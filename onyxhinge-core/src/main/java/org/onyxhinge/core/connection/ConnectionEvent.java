package org.onyxhinge.core.connection;

/** What happens on a connection to a target. */
public sealed interface ConnectionEvent {

    /** A call is sent. */
    record CallSent() implements ConnectionEvent {}

    /** An interim response arrives, which the final one follows. */
    record Interim() implements ConnectionEvent {}

    /**
     * The head of a final response arrives.
     *
     * @param identity which call the response names
     * @param delimited whether its end does not depend on the end of the connection
     */
    record Head(ResponseIdentity identity, boolean delimited) implements ConnectionEvent {}

    /**
     * A part of a response's body arrives.
     *
     * @param bytes its length
     */
    record Body(int bytes) implements ConnectionEvent {}

    /** A response ends. */
    record End() implements ConnectionEvent {}

    /** Bytes arrive that are no response, or not one that a call can have. */
    record Malformed() implements ConnectionEvent {}
}
