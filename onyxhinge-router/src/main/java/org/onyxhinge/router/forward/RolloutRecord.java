package org.onyxhinge.router.forward;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.rollout.RolloutPhase;

/**
 * A rollout as stored in the key-value service. Its compare-and-swap decides between routers that take different steps,
 * and routers that start later read it.
 *
 * @param orderId the order
 * @param version the ordered version
 * @param phase the phase
 * @param startedAtEpochMs when the order was read, in epoch ms by the writer's clock
 * @param rejectedVersions versions of the service that were rolled back
 */
record RolloutRecord(
        long orderId, String version, RolloutPhase phase, long startedAtEpochMs, Set<String> rejectedVersions) {

    /** Far more versions than are rejected in a service's life; a larger record was not written by a router. */
    private static final int MAX_VERSIONS = 10_000;

    private static final int FIELDS = 5;

    /** Copies the set. */
    RolloutRecord {
        rejectedVersions = Set.copyOf(rejectedVersions);
    }

    /** Encodes as a MessagePack array of the fields in their order, the phase by its name. */
    byte[] encode() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(FIELDS).packLong(orderId).packString(version);
            out.packString(phase.name()).packLong(startedAtEpochMs);
            out.packArrayHeader(rejectedVersions.size());
            for (String rejected : new TreeSet<>(rejectedVersions)) {
                out.packString(rejected);
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /** Decodes a record; the left side describes what is wrong with the bytes. */
    static Either<String, RolloutRecord> decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = in.unpackArrayHeader();
            if (fields != FIELDS) {
                return Either.left("fields: " + fields + ", expected " + FIELDS);
            }
            long orderId = in.unpackLong();
            String version = in.unpackString();
            RolloutPhase phase = RolloutPhase.valueOf(in.unpackString());
            long startedAtEpochMs = in.unpackLong();
            int size = in.unpackArrayHeader();
            if (size > MAX_VERSIONS) {
                return Either.left("too many versions: " + size);
            }
            Set<String> rejected = new HashSet<>();
            for (int i = 0; i < size; i++) {
                rejected.add(in.unpackString());
            }
            return Either.right(new RolloutRecord(orderId, version, phase, startedAtEpochMs, rejected));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Either.left(e.toString());
        }
    }
}
