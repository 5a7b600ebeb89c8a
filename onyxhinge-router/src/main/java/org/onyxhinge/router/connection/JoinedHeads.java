package org.onyxhinge.router.connection;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes the head of a response in which another one begins. The first has been cut; the decoder reads both as one,
 * with the status of the first and the last headers of the second.
 */
final class JoinedHeads {

    private static final String PROTOCOL = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[1-5][0-9][0-9]");

    private JoinedHeads() {}

    /** Whether a status line stands within a head. */
    static boolean isJoined(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (header.getKey().contains(PROTOCOL) || containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
