package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.buffer.Buffer;

/** The body of a message, put together from its parts. It shows whether a part is missing that was received. */
final class BodyBuffer {

    /** Length of a body whose sender does not name it. */
    static final long UNKNOWN_LENGTH = -1;

    /** Smallest segment of a body of unknown length. */
    private static final int MIN_SEGMENT_BYTES = 1 << 10;

    /** Size up to which segments grow with the body; a single buffer would be copied whenever it grows. */
    private static final int MAX_GROWN_SEGMENT_BYTES = 64 << 10;

    private final long declaredBytes;
    private final List<Buffer> segments = new ArrayList<>(1);
    private long receivedBytes;
    private int storedBytes;
    /** Bytes that fit into the last segment, which is never enlarged. */
    private int roomBytes;

    private BodyBuffer(long declaredBytes) {
        this.declaredBytes = declaredBytes;
    }

    /**
     * Creates an empty body.
     *
     * @param declaredBytes its length according to the sender, or {@link #UNKNOWN_LENGTH}; memory for it is taken now
     */
    static BodyBuffer of(long declaredBytes) {
        BodyBuffer body = new BodyBuffer(declaredBytes);
        if (declaredBytes != UNKNOWN_LENGTH) {
            body.addSegment((int) declaredBytes);
        }
        return body;
    }

    /** Returns the length that a {@code Content-Length} states, or {@link #UNKNOWN_LENGTH} if it cannot be read. */
    static long declaredLength(String contentLength) {
        if (contentLength == null) {
            return UNKNOWN_LENGTH;
        }
        try {
            return Math.max(UNKNOWN_LENGTH, Long.parseLong(contentLength.trim()));
        } catch (NumberFormatException e) {
            return UNKNOWN_LENGTH;
        }
    }

    /** Appends a part. If that fails, the body is not whole any more. */
    void append(Buffer part) {
        int bytes = part.length();
        receivedBytes += bytes;
        int first = Math.min(bytes, roomBytes);
        int growth = growthBytes(part);
        if (first > 0) {
            store(part, 0, first);
        }
        if (growth > 0) {
            addSegment(growth);
        }
        if (first < bytes) {
            store(part, first, bytes - first);
        }
    }

    private void addSegment(int bytes) {
        segments.add(Buffer.buffer(bytes));
        roomBytes = bytes;
    }

    private void store(Buffer part, int from, int bytes) {
        segments.getLast().appendBuffer(part, from, bytes);
        roomBytes -= bytes;
        storedBytes += bytes;
    }

    int length() {
        return storedBytes;
    }

    /** Memory that a further part takes beyond what the body has taken: the size of another segment, or 0. */
    int growthBytes(Buffer part) {
        int missingBytes = part.length() - roomBytes;
        if (missingBytes <= 0) {
            return 0;
        }
        int grownBytes = Math.min(MAX_GROWN_SEGMENT_BYTES, storedBytes);
        return Math.max(Math.max(MIN_SEGMENT_BYTES, grownBytes), missingBytes);
    }

    /** Whether all that was received is here, and as much as the sender has named; asked at the end of the body. */
    boolean isWhole() {
        long stored = segments.stream().mapToLong(Buffer::length).sum();
        return stored == receivedBytes && (declaredBytes == UNKNOWN_LENGTH || receivedBytes == declaredBytes);
    }

    /** The body as received so far. */
    Buffer buffer() {
        if (segments.size() != 1) {
            Buffer whole = Buffer.buffer(storedBytes);
            segments.forEach(whole::appendBuffer);
            segments.clear();
            segments.add(whole);
        }
        return segments.getFirst();
    }
}
