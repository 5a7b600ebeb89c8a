package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.wire.frame.WireException;

/**
 * MessagePack codec for {@link PeerMessage}: an array whose first element is a type tag, then the
 * record's fields in declaration order. Unknown tags and malformed bodies raise {@link WireException}.
 */
public final class PeerCodec {

    private static final int HELLO = 1;
    private static final int LOAD = 2;
    private static final int BYE = 3;
    private static final int MAX_PREFIXES = 4_096;

    private PeerCodec() {}

    /** Encodes a message into a frame body. */
    public static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case PeerMessage.Hello h -> writeHello(p, h);
                case PeerMessage.Load l -> writeLoad(p, l);
                case PeerMessage.Bye b -> p.packArrayHeader(2).packInt(BYE).packString(b.engineId());
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new WireException("cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    /** Decodes a frame body; throws {@link WireException} when it is not a peer message. */
    public static PeerMessage decode(byte[] body) {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(body)) {
            int size = u.unpackArrayHeader();
            int tag = u.unpackInt();
            return switch (tag) {
                case HELLO -> readHello(u, size);
                case LOAD -> readLoad(u, size);
                case BYE -> new PeerMessage.Bye(u.unpackString());
                default -> throw new WireException("unknown peer message tag " + tag);
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new WireException("malformed peer message: " + e.getMessage(), e);
        }
    }

    private static void writeHello(MessageBufferPacker p, PeerMessage.Hello h) throws IOException {
        EngineInfo e = h.engine();
        p.packArrayHeader(11).packInt(HELLO).packString(h.agentId()).packString(e.engineId());
        p.packString(e.pool()).packString(e.host()).packInt(e.port()).packInt(e.maxBatch());
        p.packInt(e.prefillTokensPerSecond()).packInt(e.decodeTokensPerSecond()).packBoolean(e.checksFencing());
        p.packLong(h.fencingToken());
    }

    private static PeerMessage.Hello readHello(MessageUnpacker u, int size) throws IOException {
        expect(size, 11, "hello");
        String agentId = u.unpackString();
        EngineInfo e = new EngineInfo(
                u.unpackString(),
                u.unpackString(),
                u.unpackString(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackBoolean());
        return new PeerMessage.Hello(agentId, e, u.unpackLong());
    }

    private static void writeLoad(MessageBufferPacker p, PeerMessage.Load l) throws IOException {
        p.packArrayHeader(7)
                .packInt(LOAD)
                .packString(l.engineId())
                .packInt(l.running())
                .packInt(l.waiting());
        p.packArrayHeader(l.cachedPrefixes().size());
        for (long hash : l.cachedPrefixes()) {
            p.packLong(hash);
        }
        p.packBoolean(l.draining()).packLong(l.sentAtMs());
    }

    private static PeerMessage.Load readLoad(MessageUnpacker u, int size) throws IOException {
        expect(size, 7, "load");
        String engineId = u.unpackString();
        int running = u.unpackInt();
        int waiting = u.unpackInt();
        int n = u.unpackArrayHeader();
        if (n > MAX_PREFIXES) {
            throw new WireException("load report carries " + n + " prefixes, more than " + MAX_PREFIXES);
        }
        List<Long> prefixes = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            prefixes.add(u.unpackLong());
        }
        return new PeerMessage.Load(engineId, running, waiting, prefixes, u.unpackBoolean(), u.unpackLong());
    }

    private static void expect(int size, int wanted, String what) {
        if (size != wanted) {
            throw new WireException(what + " message has " + size + " fields, expected " + wanted);
        }
    }
}
