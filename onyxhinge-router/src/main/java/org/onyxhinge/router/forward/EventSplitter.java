package org.onyxhinge.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) at event boundaries. A target may break off within
 * an event, and only complete events may reach a caller whose stream continues at another target.
 */
final class EventSplitter {

    /** Longer data without an event boundary cannot be an event of a target; it is passed through unchanged. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private Buffer partial = Buffer.buffer();
    private String lastId;
    private int events;

    /** Adds bytes; returns the events they complete, or empty. */
    Optional<Buffer> feed(Buffer bytes) {
        int scanFrom = Math.max(0, partial.length() - 3);
        Buffer all = partial.length() == 0 ? bytes : partial.appendBuffer(bytes);
        int end = 0;
        int lineStart = lineStartBefore(all, scanFrom);
        int eventStart = 0;
        for (int i = scanFrom; i < all.length(); i++) {
            if (all.getByte(i) != LINE_FEED) {
                continue;
            }
            if (isBlank(all, lineStart, i)) {
                recordEvent(all, eventStart, i);
                end = i + 1;
                eventStart = end;
            }
            lineStart = i + 1;
        }
        if (end == 0 && all.length() > MAX_EVENT_BYTES) {
            end = all.length();
        }
        partial = end == all.length() ? Buffer.buffer() : all.getBuffer(end, all.length());
        return end == 0 ? Optional.empty() : Optional.of(end == all.length() ? all : all.getBuffer(0, end));
    }

    private static int lineStartBefore(Buffer all, int from) {
        int i = from;
        while (i > 0 && all.getByte(i - 1) != LINE_FEED) {
            i--;
        }
        return i;
    }

    private static boolean isBlank(Buffer all, int start, int end) {
        return end == start || end == start + 1 && all.getByte(start) == CARRIAGE_RETURN;
    }

    private void recordEvent(Buffer all, int from, int to) {
        events++;
        int lineStart = from;
        for (int i = from; i <= to; i++) {
            if (all.getByte(i) == LINE_FEED) {
                if (all.getByte(lineStart) == 'i'
                        && i - lineStart > 3
                        && all.getByte(lineStart + 1) == 'd'
                        && all.getByte(lineStart + 2) == ':') {
                    lastId = all.getString(lineStart + 3, i, StandardCharsets.UTF_8.name())
                            .trim();
                }
                lineStart = i + 1;
            }
        }
    }

    /** The id of the last complete event that has one. */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Number of complete events so far. */
    int events() {
        return events;
    }

    /** Bytes of the event that is not complete yet. */
    Buffer partial() {
        return partial;
    }
}
