package org.onyxhinge.router.forward;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What each workspace had used in the quota window at a moment, over all routers. It is kept in the key-value service,
 * for routers that all start again at once.
 *
 * @param asOfMs that moment, in ms of the epoch by the writer's clock
 * @param unitsByWorkspace units used
 */
record UsageRecord(long asOfMs, Map<String, Long> unitsByWorkspace) {

    /** A record is a few dozen bytes a workspace; more entries than this are another writer's. */
    private static final int MOST_WORKSPACES = 100_000;

    /** Units a workspace had used; 0 when it is not on record. */
    long units(String workspace) {
        return unitsByWorkspace.getOrDefault(workspace, 0L);
    }

    /** As bytes: the moment, the number of workspaces, and a name and units of each, in MessagePack. */
    byte[] encode() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packLong(asOfMs);
            out.packMapHeader(unitsByWorkspace.size());
            for (Map.Entry<String, Long> e : new TreeMap<>(unitsByWorkspace).entrySet()) {
                out.packString(e.getKey());
                out.packLong(e.getValue());
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
        }
    }

    /** Reads bytes; the left side says what is wrong with them. */
    static Either<String, UsageRecord> decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            long asOfMs = in.unpackLong();
            int size = in.unpackMapHeader();
            if (size > MOST_WORKSPACES) {
                return Either.left("too many workspaces: " + size);
            }
            Map<String, Long> units = new HashMap<>();
            for (int i = 0; i < size; i++) {
                units.put(in.unpackString(), in.unpackLong());
            }
            return Either.right(new UsageRecord(asOfMs, units));
        } catch (IOException | MessagePackException e) {
            return Either.left(e.toString());
        }
    }
}
