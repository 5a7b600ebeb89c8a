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
 * Usage of each workspace over all routers, in the quota window that ended at a given time. Stored in the key-value
 * service for routers that all restart at once.
 *
 * @param asOfMs end of the window in epoch ms, by the writer's clock
 * @param unitsByWorkspace units used
 */
record UsageRecord(long asOfMs, Map<String, Long> unitsByWorkspace) {

    /** A record takes a few dozen bytes per workspace; one with more entries than this was not written by a router. */
    private static final int MAX_WORKSPACES = 100_000;

    /** Far more units than are used in a window; sums of several such numbers stay within 64 bits. */
    private static final long MAX_UNITS = 1L << 50;

    /** Units that a workspace had used, without impossible numbers; 0 if it is not in the record. */
    long units(String workspace) {
        return Math.clamp(unitsByWorkspace.getOrDefault(workspace, 0L), 0, MAX_UNITS);
    }

    /** Encodes as MessagePack: the time, the number of workspaces, then the name and units of each. */
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
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /** Decodes a record; the left side describes what is wrong with the bytes. */
    static Either<String, UsageRecord> decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            long asOfMs = in.unpackLong();
            int size = in.unpackMapHeader();
            if (size > MAX_WORKSPACES) {
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
