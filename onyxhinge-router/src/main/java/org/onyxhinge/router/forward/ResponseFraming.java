package org.onyxhinge.router.forward;

import java.util.Set;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;

/** How the end of a target's response is recognized (RFC 9112, section 6.3). */
final class ResponseFraming {

    private static final Set<Integer> BODILESS_STATUSES = Set.of(204, 304);

    private ResponseFraming() {}

    /** Whether the end of a response to a request of a method does not depend on the end of the connection. */
    static boolean hasDefinedLength(HttpMethod method, HttpClientResponse response) {
        return response.getHeader("Transfer-Encoding") != null
                || isBodiless(method, response)
                || response.getHeader("Content-Length") != null;
    }

    /** Whether the target announces that it closes the connection after a response. */
    static boolean announcesClose(HttpClientResponse response) {
        String connection = response.getHeader("Connection");
        return connection != null && connection.equalsIgnoreCase("close");
    }

    /** Length of the body according to the target, or {@link BodyBuffer#UNKNOWN_LENGTH}. */
    static long declaredLength(HttpMethod method, HttpClientResponse response) {
        return isBodiless(method, response)
                ? BodyBuffer.UNKNOWN_LENGTH
                : BodyBuffer.declaredLength(response.getHeader("Content-Length"));
    }

    private static boolean isBodiless(HttpMethod method, HttpClientResponse response) {
        return method == HttpMethod.HEAD || BODILESS_STATUSES.contains(response.statusCode());
    }
}
