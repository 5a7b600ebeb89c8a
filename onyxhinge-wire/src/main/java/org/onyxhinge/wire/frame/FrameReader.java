package org.onyxhinge.wire.frame;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/**
 * Splits a byte stream into frames with Vert.x's {@link RecordParser}: a 4-byte length, then the body.
 * A length below 1 or above {@link #MAX_FRAME_BYTES} is reported to the error handler, and all further
 * input is ignored.
 */
public final class FrameReader implements Handler<Buffer> {

    /** Maximum frame body size: the key-value service's largest value (1 MiB) plus space for the other fields. */
    public static final int MAX_FRAME_BYTES = 1_100_000;

    /** Size of the frame header, which contains the body length. */
    public static final int HEADER_BYTES = 4;

    private final RecordParser parser;
    private final Handler<Buffer> bodyHandler;
    private final Handler<WireException> errorHandler;
    private boolean inHeader = true;
    private boolean failed;

    private FrameReader(Handler<Buffer> bodyHandler, Handler<WireException> errorHandler) {
        this.bodyHandler = bodyHandler;
        this.errorHandler = errorHandler;
        this.parser = RecordParser.newFixed(HEADER_BYTES, this::handleRecord);
    }

    /** Creates a reader that passes frame bodies to {@code bodyHandler}, an invalid length to {@code errorHandler}. */
    public static FrameReader create(Handler<Buffer> bodyHandler, Handler<WireException> errorHandler) {
        return new FrameReader(bodyHandler, errorHandler);
    }

    /** Encodes a body as a frame: length header and body. */
    public static Buffer frame(byte[] body) {
        return Buffer.buffer(HEADER_BYTES + body.length).appendInt(body.length).appendBytes(body);
    }

    @Override
    public void handle(Buffer chunk) {
        if (!failed) {
            parser.handle(chunk);
        }
    }

    private void handleRecord(Buffer record) {
        if (failed) {
            return;
        }
        if (inHeader) {
            int length = record.getInt(0);
            if (length < 1 || length > MAX_FRAME_BYTES) {
                failed = true;
                errorHandler.handle(
                        new WireException("frame length " + length + " out of range 1.." + MAX_FRAME_BYTES));
                return;
            }
            inHeader = false;
            parser.fixedSizeMode(length);
        } else {
            inHeader = true;
            parser.fixedSizeMode(HEADER_BYTES);
            bodyHandler.handle(record);
        }
    }
}
