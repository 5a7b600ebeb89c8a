package org.onyxhinge.core.connection;

/**
 * What a connection to a target has carried, and what becomes of the next response on it. A response reaches the call
 * only if it names it, or if nothing else can have caused it: on the first call of the connection. The transitions are
 * listed in {@code docs/design/target-connections.md}.
 */
public sealed interface ConnectionState {

    /** Number of responses that are skipped before the call's own. */
    int MAX_SKIPPED_RESPONSES = 8;

    /** Size of the bodies that are skipped before the call's own response. */
    long MAX_SKIPPED_BYTES = 1 << 20;

    /** Why a connection must be closed. */
    enum Reason {
        /** A response came although none was due. */
        EXTRA_RESPONSE,
        /** The response to the first call names another one, so the call itself gets none. */
        WRONG_ID,
        /** Too many responses of other calls, or too long ones, come before the call's own. */
        TOO_MUCH_SKIPPED,
        /** A response of another call ends only with the connection. */
        SKIPPED_WITHOUT_END,
        /** Bytes came that are no response. */
        MALFORMED
    }

    /**
     * No call is in progress, and no response is due.
     *
     * @param calls number of calls that the connection has carried
     * @param identified whether the last response named its call; true before the first call
     */
    record Idle(int calls, boolean identified) implements ConnectionState {}

    /**
     * A call has been sent, and its response is due.
     *
     * @param calls number of calls, including this one
     * @param skipped responses that came before
     */
    record Waiting(int calls, Skipped skipped) implements ConnectionState {}

    /**
     * The call's own response arrives.
     *
     * @param calls number of calls, including this one
     * @param identified whether the response names the call
     */
    record Receiving(int calls, boolean identified) implements ConnectionState {}

    /**
     * A response that is not the call's own arrives while that one is due.
     *
     * @param calls number of calls, including this one
     * @param skipped responses that came before the call's own, including this one
     */
    record Skipping(int calls, Skipped skipped) implements ConnectionState {}

    /**
     * The connection must be closed, because what comes next belongs to no known call.
     *
     * @param reason what came
     */
    record Unusable(Reason reason) implements ConnectionState {}

    /**
     * Responses that were not passed on during a call.
     *
     * @param responses their number
     * @param bytes size of their bodies
     * @param unnamed whether one of them names no call: it may have been for this call
     */
    record Skipped(int responses, long bytes, boolean unnamed) {

        private static final Skipped NONE = new Skipped(0, 0, false);

        private Skipped response(boolean isUnnamed) {
            return new Skipped(responses + 1, bytes, unnamed || isUnnamed);
        }

        private Skipped body(int more) {
            return new Skipped(responses, bytes + more, unnamed);
        }

        private boolean isWithinLimits() {
            return responses <= MAX_SKIPPED_RESPONSES && bytes <= MAX_SKIPPED_BYTES;
        }
    }

    /** The state of a new connection. */
    static ConnectionState open() {
        return new Idle(0, true);
    }

    /** The state after an event. */
    default ConnectionState on(ConnectionEvent event) {
        return switch (this) {
            case Idle s -> idle(s, event);
            case Waiting s -> waiting(s, event);
            case Receiving s -> receiving(s, event);
            case Skipping s -> skipping(s, event);
            case Unusable s -> s;
        };
    }

    private static ConnectionState idle(Idle s, ConnectionEvent event) {
        return switch (event) {
            case ConnectionEvent.CallSent e -> {
                if (!s.identified) {
                    throw new IllegalStateException("the last response on the connection named no call");
                }
                yield new Waiting(s.calls + 1, Skipped.NONE);
            }
            case ConnectionEvent.Malformed e -> new Unusable(Reason.MALFORMED);
            default -> new Unusable(Reason.EXTRA_RESPONSE);
        };
    }

    private static ConnectionState waiting(Waiting s, ConnectionEvent event) {
        return switch (event) {
            case ConnectionEvent.Interim e -> s;
            case ConnectionEvent.Head e -> head(s, e);
            case ConnectionEvent.Malformed e -> new Unusable(Reason.MALFORMED);
            case ConnectionEvent.CallSent e -> throw new IllegalStateException("a call is in progress");
            case ConnectionEvent.Body e -> throw new IllegalStateException("a body without a head");
            case ConnectionEvent.End e -> throw new IllegalStateException("an end without a head");
        };
    }

    private static ConnectionState head(Waiting s, ConnectionEvent.Head head) {
        boolean first = s.calls == 1 && s.skipped.equals(Skipped.NONE);
        return switch (head.identity()) {
            case ResponseIdentity.Own i -> new Receiving(s.calls, true);
            case ResponseIdentity.Absent i when first -> new Receiving(s.calls, false);
            case ResponseIdentity.Absent i -> skip(s, head, true);
            case ResponseIdentity.Other i when first -> new Unusable(Reason.WRONG_ID);
            case ResponseIdentity.Other i -> skip(s, head, false);
        };
    }

    private static ConnectionState skip(Waiting s, ConnectionEvent.Head head, boolean unnamed) {
        return head.delimited()
                ? withinLimits(s.calls, s.skipped.response(unnamed))
                : new Unusable(Reason.SKIPPED_WITHOUT_END);
    }

    private static ConnectionState withinLimits(int calls, Skipped skipped) {
        return skipped.isWithinLimits() ? new Skipping(calls, skipped) : new Unusable(Reason.TOO_MUCH_SKIPPED);
    }

    private static ConnectionState receiving(Receiving s, ConnectionEvent event) {
        return switch (event) {
            case ConnectionEvent.Body e -> s;
            case ConnectionEvent.End e -> new Idle(s.calls, s.identified);
            case ConnectionEvent.Malformed e -> new Unusable(Reason.MALFORMED);
            case ConnectionEvent.CallSent e -> throw new IllegalStateException("a response is being received");
            case ConnectionEvent.Interim e -> throw new IllegalStateException("a head within a body");
            case ConnectionEvent.Head e -> throw new IllegalStateException("a head within a body");
        };
    }

    private static ConnectionState skipping(Skipping s, ConnectionEvent event) {
        return switch (event) {
            case ConnectionEvent.Body e -> withinLimits(s.calls, s.skipped.body(e.bytes()));
            case ConnectionEvent.End e -> new Waiting(s.calls, s.skipped);
            case ConnectionEvent.Malformed e -> new Unusable(Reason.MALFORMED);
            case ConnectionEvent.CallSent e -> throw new IllegalStateException("a call is in progress");
            case ConnectionEvent.Interim e -> throw new IllegalStateException("a head within a body");
            case ConnectionEvent.Head e -> throw new IllegalStateException("a head within a body");
        };
    }

    /**
     * Whether the call's own response may not come: one that was skipped may have been it, or one that is being skipped
     * may have been cut, so that the own one counts as its body.
     */
    default boolean mayStayUnanswered() {
        return switch (this) {
            case Waiting s -> s.skipped.unnamed;
            case Skipping s -> true;
            case Idle s -> false;
            case Receiving s -> false;
            case Unusable s -> false;
        };
    }

    /** Whether another call may be sent: what its response is can be told from what came before. */
    default boolean isReusable() {
        return switch (this) {
            case Idle s -> s.identified;
            case Waiting s -> false;
            case Receiving s -> false;
            case Skipping s -> false;
            case Unusable s -> false;
        };
    }
}
