package org.onyxhinge.wire.frame;

import java.io.IOException;

import org.msgpack.core.MessageUnpacker;

/** Reads binary fields of messages. */
public final class BinaryField {

    private BinaryField() {}

    /**
     * Reads a field of bytes. Memory is taken for as many as the field says it has, before they are read, so that one
     * beyond the largest frame is rejected with {@link WireException}.
     */
    public static byte[] read(MessageUnpacker in) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length > FrameReader.MAX_FRAME_BYTES) {
            throw new WireException("binary field of " + length + " bytes, limit " + FrameReader.MAX_FRAME_BYTES);
        }
        return in.readPayload(length);
    }
}
