package org.onyxhinge.runtime.server;

import io.netty.buffer.ByteBuf;

/** Finds the end of a request's head, whose bytes may come in any number of parts. */
final class HeadScanner {

    private static final byte LF = '\n';
    private static final byte CR = '\r';

    /** Offsets from the first byte of the head. */
    private int lineStart;

    private int scanned;
    private int lines;

    /** Forgets the head. */
    void reset() {
        lineStart = 0;
        scanned = 0;
        lines = 0;
    }

    /** Number of complete lines. */
    int lines() {
        return lines;
    }

    /**
     * Looks for the empty line at the end of a head. Nothing is scanned twice.
     *
     * @param bytes buffer whose readable bytes begin with the head
     * @return size of the head, or -1 if its end has not been received
     */
    int find(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int lf = bytes.indexOf(start + scanned, bytes.writerIndex(), LF);
        while (lf >= 0) {
            int length = lf - start - lineStart;
            boolean empty = length == 0 || length == 1 && bytes.getByte(lf - 1) == CR;
            scanned = lf - start + 1;
            lineStart = scanned;
            if (empty) {
                return scanned;
            }
            lines++;
            lf = bytes.indexOf(start + scanned, bytes.writerIndex(), LF);
        }
        scanned = bytes.readableBytes();
        return -1;
    }

    /** Skips empty lines before a request, up to a number of bytes, and returns how many it has skipped. */
    static int skipEmptyLines(ByteBuf bytes, int mostBytes) {
        int start = bytes.readerIndex();
        int end = start + Math.min(mostBytes, bytes.readableBytes());
        int at = start;
        while (at < end && isLineEnd(bytes.getByte(at))) {
            at++;
        }
        bytes.readerIndex(at);
        return at - start;
    }

    private static boolean isLineEnd(byte b) {
        return b == CR || b == LF;
    }
}
