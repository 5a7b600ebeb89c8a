package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.wire.frame.BinaryField;
import org.onyxhinge.wire.frame.WireException;
import org.onyxhinge.wire.kv.KvChanges;
import org.onyxhinge.wire.kv.KvEntry;

/** Encodes and decodes the messages by which routers tell each other what they have read from the store. */
final class StoreRelayCodec {

    static final int QUERY_FIELDS = 3;
    static final int REPLY_FIELDS = 7;

    private static final int MAX_ITEMS = 65_536;

    private StoreRelayCodec() {}

    static void write(MessagePacker p, PeerMessage.StoreQuery query) throws IOException {
        p.packString(query.routerId()).packLong(query.askId()).packLong(query.revision());
    }

    static PeerMessage.StoreQuery readQuery(MessageUnpacker u) throws IOException {
        return new PeerMessage.StoreQuery(u.unpackString(), u.unpackLong(), u.unpackLong());
    }

    static void write(MessagePacker p, PeerMessage.StoreReply reply) throws IOException {
        KvChanges changes = reply.changes();
        p.packLong(reply.askId()).packLong(reply.configAgeMs()).packLong(reply.targetsAgeMs());
        p.packLong(changes.revision()).packBoolean(changes.whole());
        p.packArrayHeader(changes.entries().size());
        for (KvEntry e : changes.entries()) {
            p.packString(e.key()).packBinaryHeader(e.value().length).writePayload(e.value());
            p.packLong(e.version()).packLong(e.modRevision()).packLong(e.leaseId());
        }
        p.packMapHeader(changes.deleted().size());
        for (Map.Entry<String, Long> e : changes.deleted().entrySet()) {
            p.packString(e.getKey()).packLong(e.getValue());
        }
    }

    static PeerMessage.StoreReply readReply(MessageUnpacker u) throws IOException {
        long askId = u.unpackLong();
        long configAgeMs = u.unpackLong();
        long targetsAgeMs = u.unpackLong();
        long revision = u.unpackLong();
        boolean whole = u.unpackBoolean();
        KvChanges changes = new KvChanges(revision, whole, readEntries(u), readDeleted(u));
        return new PeerMessage.StoreReply(askId, configAgeMs, targetsAgeMs, changes);
    }

    private static List<KvEntry> readEntries(MessageUnpacker u) throws IOException {
        int n = count(u.unpackArrayHeader());
        List<KvEntry> entries = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            String key = u.unpackString();
            byte[] value = BinaryField.read(u);
            entries.add(new KvEntry(key, value, u.unpackLong(), u.unpackLong(), u.unpackLong()));
        }
        return entries;
    }

    private static Map<String, Long> readDeleted(MessageUnpacker u) throws IOException {
        int n = count(u.unpackMapHeader());
        Map<String, Long> deleted = new HashMap<>();
        for (int i = 0; i < n; i++) {
            deleted.put(u.unpackString(), u.unpackLong());
        }
        return deleted;
    }

    private static int count(int n) {
        if (n > MAX_ITEMS) {
            throw new WireException("too many store entries: " + n);
        }
        return n;
    }
}
