package org.onyxhinge.wire.http;

import io.vertx.core.http.HttpClientRequest;

/** Counts the interim responses to a request (RFC 9110, section 15.2), which a faulty server may send without end. */
public final class InterimResponses {

    /** A server sends a few at most before the final response. */
    private static final int MAX_COUNT = 16;

    private final Runnable onTooMany;
    private int count;

    private InterimResponses(Runnable onTooMany) {
        this.onTooMany = onTooMany;
    }

    /** Calls {@code onTooMany} once if there are more than there can be; it must close the connection. */
    public static void limit(HttpClientRequest request, Runnable onTooMany) {
        InterimResponses responses = new InterimResponses(onTooMany);
        request.continueHandler(v -> responses.received());
        request.earlyHintsHandler(headers -> responses.received());
    }

    private void received() {
        count++;
        if (count == MAX_COUNT + 1) {
            onTooMany.run();
        }
    }
}
