package org.onyxhinge.router.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.RequestFingerprint;

/**
 * The crashes of quarantined requests, as they are kept in the key-value service for routers that start later.
 *
 * @param entries the crashes
 */
record QuarantineRecord(List<Entry> entries) {

    /** A crash takes about 50 bytes; more of them than this are another writer's. */
    private static final int MOST_ENTRIES = 16_384;

    /**
     * One crash.
     *
     * @param request the request that the target ran
     * @param incarnation the start of the target that ended
     * @param atEpochMs when, in ms of the epoch by the writer's clock
     */
    record Entry(RequestFingerprint request, String incarnation, long atEpochMs) {

        boolean sameCrash(Entry other) {
            return request.equals(other.request) && incarnation.equals(other.incarnation);
        }
    }

    /** Copies the list. */
    QuarantineRecord {
        entries = List.copyOf(entries);
    }

    /** A record of crashes whose times are of the monotonic clock, which shows {@code nowMs}. */
    static QuarantineRecord of(List<Crash> crashes, long nowMs) {
        long epochMs = System.currentTimeMillis();
        return new QuarantineRecord(crashes.stream()
                .map(c -> new Entry(c.request(), c.incarnation(), epochMs - (nowMs - c.atMs())))
                .toList());
    }

    /** The crashes by the monotonic clock, which shows {@code nowMs}; one from the future has just been. */
    List<Crash> crashes(long nowMs) {
        long epochMs = System.currentTimeMillis();
        return entries.stream()
                .map(e -> new Crash(e.request(), e.incarnation(), nowMs - Math.max(0, epochMs - e.atEpochMs())))
                .toList();
    }

    /** Whether it holds every crash of another record. */
    boolean covers(QuarantineRecord other) {
        return other.entries.stream().allMatch(e -> entries.stream().anyMatch(e::sameCrash));
    }

    /** As bytes: the number of crashes, and of each the request's two halves, the incarnation and the time. */
    byte[] encode() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(entries.size());
            for (Entry e : entries) {
                out.packLong(e.request().high()).packLong(e.request().low());
                out.packString(e.incarnation()).packLong(e.atEpochMs());
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
        }
    }

    /** Reads bytes; the left side says what is wrong with them. */
    static Either<String, QuarantineRecord> decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int size = in.unpackArrayHeader();
            if (size > MOST_ENTRIES) {
                return Either.left("too many crashes: " + size);
            }
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                RequestFingerprint request = new RequestFingerprint(in.unpackLong(), in.unpackLong());
                entries.add(new Entry(request, in.unpackString(), in.unpackLong()));
            }
            return Either.right(new QuarantineRecord(entries));
        } catch (IOException | MessagePackException e) {
            return Either.left(e.toString());
        }
    }
}
