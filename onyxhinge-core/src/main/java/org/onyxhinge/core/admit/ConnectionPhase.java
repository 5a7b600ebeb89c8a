package org.onyxhinge.core.admit;

/** What a connection of a client is doing. The phases are listed in {@code docs/design/client-connections.md}. */
public sealed interface ConnectionPhase {

    /** Nothing of a request has been received since the last response. */
    record Idle() implements ConnectionPhase {}

    /** A part of a request's head has been received. */
    record HeadArriving() implements ConnectionPhase {}

    /** The head has been received, and a part of the body is missing. */
    record BodyArriving() implements ConnectionPhase {}

    /** The request has been received, and its client has not taken the whole response. */
    record UnderWay() implements ConnectionPhase {}

    /** The response has been taken, and the rest of the request is discarded. */
    record Discarding() implements ConnectionPhase {}

    /** Its name in logs and metrics. */
    default String label() {
        return switch (this) {
            case Idle i -> "idle";
            case HeadArriving h -> "head";
            case BodyArriving b -> "body";
            case UnderWay u -> "under_way";
            case Discarding d -> "discarding";
        };
    }
}
