package org.onyxhinge.wire.kv;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.wire.frame.BinaryField;
import org.onyxhinge.wire.frame.WireException;

/**
 * MessagePack codec for {@link KvMessage}: an array of a type tag and the record's fields in order.
 * A malformed body throws {@link WireException}; a message is never returned partially decoded.
 */
public final class KvCodec {

    private static final int GET = 1;
    private static final int RANGE = 2;
    private static final int PUT = 3;
    private static final int DELETE = 4;
    private static final int WATCH = 5;
    private static final int GRANT = 6;
    private static final int KEEP_ALIVE = 7;
    private static final int REVOKE = 8;
    private static final int REPLY = 20;
    private static final int EVENT = 21;
    /** Messages from before pages have one field less. */
    private static final int RANGE_FIELDS = 4;

    private static final int REPLY_FIELDS = 7;
    private static final int MAX_ENTRIES = 100_000;

    private KvCodec() {}

    /** Encodes a message into a frame body. */
    public static byte[] encode(KvMessage m) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            switch (m) {
                case KvMessage.Get g ->
                    p.packArrayHeader(3).packInt(GET).packLong(g.callId()).packString(g.key());
                case KvMessage.Range r ->
                    p.packArrayHeader(RANGE_FIELDS)
                            .packInt(RANGE)
                            .packLong(r.callId())
                            .packString(r.prefix())
                            .packString(r.afterKey());
                case KvMessage.Put put -> writePut(p, put);
                case KvMessage.Delete d ->
                    p.packArrayHeader(4)
                            .packInt(DELETE)
                            .packLong(d.callId())
                            .packString(d.key())
                            .packLong(d.expectedVersion());
                case KvMessage.Watch w ->
                    p.packArrayHeader(4)
                            .packInt(WATCH)
                            .packLong(w.callId())
                            .packString(w.prefix())
                            .packLong(w.fromRevision());
                case KvMessage.LeaseGrant g ->
                    p.packArrayHeader(3).packInt(GRANT).packLong(g.callId()).packLong(g.ttlMs());
                case KvMessage.LeaseKeepAlive k ->
                    p.packArrayHeader(3)
                            .packInt(KEEP_ALIVE)
                            .packLong(k.callId())
                            .packLong(k.leaseId());
                case KvMessage.LeaseRevoke r ->
                    p.packArrayHeader(3).packInt(REVOKE).packLong(r.callId()).packLong(r.leaseId());
                case KvMessage.Reply r -> writeReply(p, r);
                case KvMessage.Event e -> writeEvent(p, e);
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new WireException("cannot encode " + m.getClass().getSimpleName(), e);
        }
    }

    /** Decodes a frame body; throws {@link WireException} if it is not a valid key-value message. */
    public static KvMessage decode(byte[] body) {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(body)) {
            int fields = u.unpackArrayHeader();
            int tag = u.unpackInt();
            return switch (tag) {
                case GET -> new KvMessage.Get(u.unpackLong(), u.unpackString());
                case RANGE ->
                    new KvMessage.Range(
                            u.unpackLong(), u.unpackString(), fields < RANGE_FIELDS ? "" : u.unpackString());
                case PUT ->
                    new KvMessage.Put(
                            u.unpackLong(), u.unpackString(), BinaryField.read(u), u.unpackLong(), u.unpackLong());
                case DELETE -> new KvMessage.Delete(u.unpackLong(), u.unpackString(), u.unpackLong());
                case WATCH -> new KvMessage.Watch(u.unpackLong(), u.unpackString(), u.unpackLong());
                case GRANT -> new KvMessage.LeaseGrant(u.unpackLong(), u.unpackLong());
                case KEEP_ALIVE -> new KvMessage.LeaseKeepAlive(u.unpackLong(), u.unpackLong());
                case REVOKE -> new KvMessage.LeaseRevoke(u.unpackLong(), u.unpackLong());
                case REPLY -> readReply(u, fields);
                case EVENT -> new KvMessage.Event(u.unpackLong(), u.unpackLong(), u.unpackBoolean(), readEntry(u));
                default -> throw new WireException("unknown key-value message tag " + tag);
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new WireException("malformed key-value message: " + e.getMessage(), e);
        }
    }

    private static void writePut(MessageBufferPacker p, KvMessage.Put put) throws IOException {
        p.packArrayHeader(6).packInt(PUT).packLong(put.callId()).packString(put.key());
        p.packBinaryHeader(put.value().length).writePayload(put.value());
        p.packLong(put.expectedVersion()).packLong(put.leaseId());
    }

    private static void writeReply(MessageBufferPacker p, KvMessage.Reply r) throws IOException {
        p.packArrayHeader(REPLY_FIELDS)
                .packInt(REPLY)
                .packLong(r.callId())
                .packInt(r.status().ordinal())
                .packLong(r.revision());
        p.packArrayHeader(r.entries().size());
        for (KvEntry e : r.entries()) {
            writeEntry(p, e);
        }
        p.packLong(r.leaseId()).packBoolean(r.more());
    }

    private static KvMessage.Reply readReply(MessageUnpacker u, int fields) throws IOException {
        long callId = u.unpackLong();
        int status = u.unpackInt();
        if (status < 0 || status >= KvStatus.values().length) {
            throw new WireException("unknown key-value status " + status);
        }
        long revision = u.unpackLong();
        int n = u.unpackArrayHeader();
        if (n > MAX_ENTRIES) {
            throw new WireException("reply has " + n + " entries, limit " + MAX_ENTRIES);
        }
        List<KvEntry> entries = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            entries.add(readEntry(u));
        }
        long leaseId = u.unpackLong();
        boolean more = fields >= REPLY_FIELDS && u.unpackBoolean();
        return new KvMessage.Reply(callId, KvStatus.values()[status], revision, entries, leaseId, more);
    }

    private static void writeEvent(MessageBufferPacker p, KvMessage.Event e) throws IOException {
        p.packArrayHeader(5)
                .packInt(EVENT)
                .packLong(e.watchId())
                .packLong(e.revision())
                .packBoolean(e.deleted());
        writeEntry(p, e.entry());
    }

    private static void writeEntry(MessageBufferPacker p, KvEntry e) throws IOException {
        p.packArrayHeader(5).packString(e.key());
        p.packBinaryHeader(e.value().length).writePayload(e.value());
        p.packLong(e.version()).packLong(e.modRevision()).packLong(e.leaseId());
    }

    private static KvEntry readEntry(MessageUnpacker u) throws IOException {
        u.unpackArrayHeader();
        return new KvEntry(u.unpackString(), BinaryField.read(u), u.unpackLong(), u.unpackLong(), u.unpackLong());
    }
}
