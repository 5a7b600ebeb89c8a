package org.onyxhinge.wire.frame;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/**
 * Splits a byte stream into frames with Vert.x's {@link RecordParser}: first the 4-byte length, then
 * the body. A length below 1 or above {@link #MAX_FRAME_BYTES} is reported to the error handler and
 * reading stops.
 */
public final class FrameReader implements Handler<Buffer> {

    /** The largest frame body accepted, in bytes: the key-value service's largest value plus room. */
    public static final int MAX_FRAME_BYTES = 1_100_000;

    /** Length of the frame header, which holds the body's length. */
    public static final int HEADER_BYTES = 4;

    private final RecordParser parser;
    private final Handler<Buffer> frames;
    private final Handler<WireException> errors;
    private boolean inHeader = true;
    private boolean failed;

    private FrameReader(Handler<Buffer> frames, Handler<WireException> errors) {
        this.frames = frames;
        this.errors = errors;
        this.parser = RecordParser.newFixed(HEADER_BYTES, this::record);
    }

    /** Creates a reader that hands each whole frame body to {@code frames}. */
    public static FrameReader create(Handler<Buffer> frames, Handler<WireException> errors) {
        return new FrameReader(frames, errors);
    }

    /** Wraps a body in a frame. */
    public static Buffer frame(byte[] body) {
        return Buffer.buffer(HEADER_BYTES + body.length).appendInt(body.length).appendBytes(body);
    }

    @Override
    public void handle(Buffer chunk) {
        if (!failed) {
            parser.handle(chunk);
        }
    }

    private void record(Buffer record) {
        if (failed) {
            return;
        }
        if (inHeader) {
            int length = record.getInt(0);
            if (length < 1 || length > MAX_FRAME_BYTES) {
                failed = true;
                errors.handle(new WireException("frame length " + length + " outside 1.." + MAX_FRAME_BYTES));
                return;
            }
            inHeader = false;
            parser.fixedSizeMode(length);
        } else {
            inHeader = true;
            parser.fixedSizeMode(HEADER_BYTES);
            frames.handle(record);
        }
    }
}
