package org.onyxhinge.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream of server-sent events (WHATWG HTML, section 9.2) into whole events: a target may break
 * off in the middle of one, and only whole ones may reach a caller whose stream goes on elsewhere.
 */
final class EventSplitter {

    /** An event above this is no event of ours; it is passed on as it is. */
    private static final int LONGEST_EVENT_BYTES = 1 << 20;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private Buffer rest = Buffer.buffer();
    private String lastId;
    private int events;

    /** Takes bytes in; returns the whole events they complete, or empty. */
    Optional<Buffer> feed(Buffer bytes) {
        int scanFrom = Math.max(0, rest.length() - 3);
        Buffer all = rest.length() == 0 ? bytes : rest.appendBuffer(bytes);
        int end = 0;
        int lineStart = lineStartBefore(all, scanFrom);
        int eventStart = 0;
        for (int i = scanFrom; i < all.length(); i++) {
            if (all.getByte(i) != LINE_FEED) {
                continue;
            }
            if (isBlank(all, lineStart, i)) {
                noteId(all, eventStart, i);
                end = i + 1;
                eventStart = end;
            }
            lineStart = i + 1;
        }
        if (end == 0 && all.length() > LONGEST_EVENT_BYTES) {
            end = all.length();
        }
        rest = end == all.length() ? Buffer.buffer() : all.getBuffer(end, all.length());
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

    private void noteId(Buffer all, int from, int to) {
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

    /** The id of the last whole event. */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Whole events so far. */
    int events() {
        return events;
    }

    /** Bytes of an event that has not ended. */
    Buffer rest() {
        return rest;
    }
}
