package org.onyxhinge.runtime.server;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Reads a chunked body and joins the chunks that have been received, so that a body in small chunks takes no more
 * objects than others. Extensions and trailer fields are dropped, as RFC 9112, section 7.1, permits.
 */
final class ChunkReader {

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** No chunk size, so that the decoder behind reports the body as malformed. */
    private static final byte[] MALFORMED_CHUNK = "!\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Room for the size line of a joined chunk. */
    private static final int SIZE_LINE_BYTES = 10;

    private static final int HEX = 16;

    /** Largest chunk that is accepted; it need not be held. */
    private static final long MAX_CHUNK_BYTES = 1 << 28;

    private final int maxLineBytes;
    private State state = State.SIZE;
    private boolean digitSeen;
    private long chunkBytes;
    private int lineBytes;
    private int trailerBytes;

    /** What is expected next. */
    private enum State {
        SIZE,
        EXTENSION,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER,
        WHOLE,
        MALFORMED,
        TOO_LONG
    }

    private ChunkReader(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Creates a reader at the beginning of a body.
     *
     * @param maxLineBytes maximum size of a chunk's size line, and of all trailer fields together
     */
    static ChunkReader create(int maxLineBytes) {
        return new ChunkReader(maxLineBytes);
    }

    boolean isWhole() {
        return state == State.WHOLE;
    }

    boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Whether a size line or the trailer fields are longer than permitted. */
    boolean isTooLong() {
        return state == State.TOO_LONG;
    }

    /** Reads up to the end of the body or of the bytes, and returns what it has read as at most one chunk. */
    ByteBuf read(ByteBuf in) {
        // Arrays, since each access to a buffer is checked, and most bytes may be framing.
        byte[] bytes = new byte[in.readableBytes()];
        in.getBytes(in.readerIndex(), bytes);
        byte[] out = new byte[SIZE_LINE_BYTES + bytes.length + LINE_END.length + LAST_CHUNK.length];
        int read = 0;
        int end = SIZE_LINE_BYTES;
        while (read < bytes.length && !isEnded()) {
            if (state == State.DATA) {
                int count = (int) Math.min(chunkBytes, bytes.length - read);
                System.arraycopy(bytes, read, out, end, count);
                read += count;
                end += count;
                dataRead(count);
            } else {
                framing(bytes[read]);
                read++;
            }
        }
        in.skipBytes(read);
        return asChunk(out, end);
    }

    private void dataRead(int count) {
        chunkBytes -= count;
        if (chunkBytes == 0) {
            state = State.DATA_CR;
        }
    }

    /** Frames what has been read, whose data end at an index of the array. */
    private ByteBuf asChunk(byte[] out, int dataEnd) {
        int start = SIZE_LINE_BYTES;
        int end = dataEnd;
        if (end > start) {
            byte[] sizeLine = (Integer.toHexString(end - start) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            start -= sizeLine.length;
            System.arraycopy(sizeLine, 0, out, start, sizeLine.length);
            end = append(LINE_END, out, end);
        }
        if (isWhole()) {
            end = append(LAST_CHUNK, out, end);
        } else if (isMalformed()) {
            end = append(MALFORMED_CHUNK, out, end);
        }
        return Unpooled.wrappedBuffer(out, start, end - start);
    }

    private static int append(byte[] bytes, byte[] out, int end) {
        System.arraycopy(bytes, 0, out, end, bytes.length);
        return end + bytes.length;
    }

    private boolean isEnded() {
        return isWhole() || isMalformed() || isTooLong();
    }

    private void framing(byte b) {
        switch (state) {
            case SIZE -> size(b);
            case EXTENSION -> extension(b);
            case SIZE_LF -> expect(b, '\n', chunkBytes == 0 ? State.TRAILER : State.DATA);
            case DATA_CR -> expect(b, '\r', State.DATA_LF);
            case DATA_LF -> nextChunk(b);
            case TRAILER -> trailer(b);
            case DATA, WHOLE, MALFORMED, TOO_LONG -> throw new IllegalStateException("no framing in " + state);
            default -> throw new IllegalStateException("unknown state " + state);
        }
    }

    private void expect(byte b, char expected, State next) {
        state = b == expected ? next : State.MALFORMED;
        lineBytes = 0;
    }

    private void nextChunk(byte b) {
        expect(b, '\n', State.SIZE);
        digitSeen = false;
        chunkBytes = 0;
    }

    private void size(byte b) {
        int digit = Character.digit(b, HEX);
        if (digit >= 0) {
            digitSeen = true;
            chunkBytes = chunkBytes * HEX + digit;
            state = chunkBytes > MAX_CHUNK_BYTES ? State.MALFORMED : State.SIZE;
            countLineByte();
        } else if (!digitSeen) {
            state = State.MALFORMED;
        } else if (b == '\r') {
            state = State.SIZE_LF;
        } else if (b == ';' || b == ' ' || b == '\t') {
            state = State.EXTENSION;
        } else {
            state = State.MALFORMED;
        }
    }

    private void extension(byte b) {
        if (b == '\r') {
            state = State.SIZE_LF;
        } else if (b == '\n') {
            state = State.MALFORMED;
        } else {
            countLineByte();
        }
    }

    private void countLineByte() {
        lineBytes++;
        if (lineBytes > maxLineBytes) {
            state = State.TOO_LONG;
        }
    }

    private void trailer(byte b) {
        trailerBytes++;
        if (trailerBytes > maxLineBytes) {
            state = State.TOO_LONG;
        } else if (b == '\n') {
            state = lineBytes == 0 ? State.WHOLE : State.TRAILER;
            lineBytes = 0;
        } else if (b != '\r') {
            lineBytes++;
        }
    }
}
