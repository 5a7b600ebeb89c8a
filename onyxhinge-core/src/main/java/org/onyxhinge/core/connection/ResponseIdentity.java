package org.onyxhinge.core.connection;

import java.util.List;

/** What the request id in a response says about the call that the response belongs to. */
public sealed interface ResponseIdentity {

    /** The response names the call. */
    record Own() implements ResponseIdentity {}

    /** The response names no call: it has no id. */
    record Absent() implements ResponseIdentity {}

    /**
     * The response names another call, several, or none by an empty id.
     *
     * @param named the ids, separated by commas
     */
    record Other(String named) implements ResponseIdentity {}

    /**
     * Compares the ids that a response carries with the one that was sent.
     *
     * @param echoed the values of the response's id header, without surrounding whitespace
     */
    static ResponseIdentity of(List<String> echoed, String requestId) {
        if (echoed.isEmpty()) {
            return new Absent();
        }
        boolean own = !requestId.isEmpty() && echoed.stream().allMatch(requestId::equals);
        return own ? new Own() : new Other(String.join(",", echoed));
    }

    /** The name in logs. */
    default String text() {
        return switch (this) {
            case Own i -> "own";
            case Absent i -> "absent";
            case Other i -> "other";
        };
    }
}
