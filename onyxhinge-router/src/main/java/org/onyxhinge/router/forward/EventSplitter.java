package org.onyxhinge.router.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) at event boundaries. A target may break off within
 * an event, and only complete events may reach a caller whose stream continues at another target.
 */
final class EventSplitter {

    /** Longest event of a target. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /** An id is sent to the next target in a header. */
    private static final int MAX_ID_BYTES = 1_024;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private Buffer partial = Buffer.buffer();
    /** Length of the current line so far. */
    private int lineBytes;
    /** Whether the current line so far is an id field or the beginning of one. */
    private boolean idLine = true;
    /** Whether the current line so far is a single carriage return. */
    private boolean onlyCarriageReturn;

    private final ByteArrayOutputStream lineId = new ByteArrayOutputStream();
    private String eventId;
    private String lastId;
    private int events;
    private boolean malformed;

    /** Adds bytes; returns the events they complete, or empty. Nothing may be added once the stream is malformed. */
    Optional<Buffer> feed(Buffer bytes) {
        byte[] raw = bytes.getBytes();
        int end = 0;
        int from = 0;
        while (from < raw.length) {
            int to = from;
            while (to < raw.length && raw[to] != LINE_FEED) {
                to++;
            }
            extendLine(raw, from, to);
            from = to + 1;
            if (to < raw.length && endLine()) {
                end = from;
            }
        }
        Optional<Buffer> complete = end == 0 ? Optional.empty() : Optional.of(complete(bytes, end));
        if (end < raw.length) {
            partial.appendBuffer(bytes, end, raw.length - end);
        }
        malformed |= partial.length() > MAX_EVENT_BYTES;
        return complete;
    }

    private void extendLine(byte[] raw, int from, int to) {
        if (to > from) {
            onlyCarriageReturn = lineBytes == 0 && to == from + 1 && raw[from] == CARRIAGE_RETURN;
        }
        int at = from;
        while (at < to && idLine && lineBytes + at - from < ID_FIELD.length) {
            idLine = raw[at] == ID_FIELD[lineBytes + at - from];
            at++;
        }
        if (idLine && at < to) {
            lineId.write(raw, at, Math.min(to - at, MAX_ID_BYTES + 1));
            malformed |= lineId.size() > MAX_ID_BYTES;
        }
        lineBytes += to - from;
    }

    /** Ends the current line; returns whether it was the blank line that ends an event. */
    private boolean endLine() {
        boolean blank = lineBytes == 0 || onlyCarriageReturn;
        if (lineId.size() > 0) {
            eventId = lineId.toString(StandardCharsets.UTF_8).trim();
            lineId.reset();
        }
        if (blank) {
            events++;
            lastId = eventId == null ? lastId : eventId;
            eventId = null;
        }
        lineBytes = 0;
        idLine = true;
        onlyCarriageReturn = false;
        return blank;
    }

    private Buffer complete(Buffer bytes, int end) {
        if (partial.length() == 0) {
            return end == bytes.length() ? bytes : bytes.getBuffer(0, end);
        }
        Buffer complete = partial.appendBuffer(bytes, 0, end);
        partial = Buffer.buffer();
        return complete;
    }

    /** Whether what was added cannot be a stream of events of a target. */
    boolean isMalformed() {
        return malformed;
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
