package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.Optional;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.resume.StreamOrigin;

/** Encodes and decodes the messages about what began a stream. */
final class StreamOriginCodec {

    static final int COPY_FIELDS = 3;
    static final int QUERY_FIELDS = 2;
    /** An unknown origin is left out. */
    static final int UNKNOWN_FIELDS = 1;

    private StreamOriginCodec() {}

    static int fields(PeerMessage.StreamOriginReply reply) {
        return reply.origin().isPresent() ? COPY_FIELDS : UNKNOWN_FIELDS;
    }

    static void write(MessagePacker p, PeerMessage.StreamOriginCopy copy) throws IOException {
        p.packLong(copy.key());
        write(p, copy.origin());
    }

    static void write(MessagePacker p, PeerMessage.StreamOriginQuery query) throws IOException {
        p.packString(query.routerId()).packLong(query.key());
    }

    static void write(MessagePacker p, PeerMessage.StreamOriginReply reply) throws IOException {
        p.packLong(reply.key());
        if (reply.origin().isPresent()) {
            write(p, reply.origin().get());
        }
    }

    private static void write(MessagePacker p, StreamOrigin origin) throws IOException {
        p.packString(origin.service()).packString(origin.version());
    }

    static PeerMessage.StreamOriginCopy readCopy(MessageUnpacker u) throws IOException {
        return new PeerMessage.StreamOriginCopy(u.unpackLong(), readOrigin(u));
    }

    static PeerMessage.StreamOriginQuery readQuery(MessageUnpacker u) throws IOException {
        return new PeerMessage.StreamOriginQuery(u.unpackString(), u.unpackLong());
    }

    static PeerMessage.StreamOriginReply readReply(MessageUnpacker u, int fields) throws IOException {
        long key = u.unpackLong();
        return new PeerMessage.StreamOriginReply(
                key, fields == UNKNOWN_FIELDS ? Optional.empty() : Optional.of(readOrigin(u)));
    }

    private static StreamOrigin readOrigin(MessageUnpacker u) throws IOException {
        return new StreamOrigin(u.unpackString(), u.unpackString());
    }
}
