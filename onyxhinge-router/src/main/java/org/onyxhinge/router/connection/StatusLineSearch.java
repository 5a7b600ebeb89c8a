package org.onyxhinge.router.connection;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/** Looks for the beginning of a status line in a body, whose bytes come in parts. */
final class StatusLineSearch {

    /** No beginning of it but the first byte occurs in it again, so a mismatch needs no look back. */
    private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private int matched;

    /** Starts with a new body. */
    void reset() {
        matched = 0;
    }

    /** Searches the next part of the body, which is not consumed. */
    void add(ByteBuf part) {
        if (!found()) {
            part.forEachByte(this::next);
        }
    }

    /** Returns whether the search goes on. */
    private boolean next(byte b) {
        if (b == BEGINNING[matched]) {
            matched++;
        } else {
            matched = b == BEGINNING[0] ? 1 : 0;
        }
        return !found();
    }

    /** Whether the body holds the beginning of a status line. */
    boolean found() {
        return matched == BEGINNING.length;
    }
}
