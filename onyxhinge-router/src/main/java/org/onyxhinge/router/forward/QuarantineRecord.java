package org.onyxhinge.router.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.Fingerprint;

/**
 * The crashes of quarantined requests, as stored in the key-value service for routers that start later.
 *
 * @param entries the crashes
 * @param answers the last complete answers to what is quarantined, without which all evidence would seem firm
 */
record QuarantineRecord(List<Entry> entries, List<Answer> answers) {

    /** A crash takes about 50 bytes; a record with more entries than this was not written by a router. */
    private static final int MAX_ENTRIES = 16_384;

    /**
     * One crash.
     *
     * @param request the request that the target executed
     * @param incarnation the incarnation of the target that ended
     * @param atEpochMs time of the crash in epoch ms, by the writer's clock
     */
    record Entry(Fingerprint request, String incarnation, long atEpochMs) {

        /** The crash, whatever time its reporter took it to be at. */
        private Entry withoutTime() {
            return new Entry(request, incarnation, 0);
        }
    }

    /**
     * A complete answer to a quarantined suspect.
     *
     * @param suspect the request, or the part
     * @param sentAtEpochMs when the answered call was sent, in epoch ms by the writer's clock
     */
    record Answer(Fingerprint suspect, long sentAtEpochMs) {}

    /** Copies the lists. */
    QuarantineRecord {
        entries = List.copyOf(entries);
        answers = List.copyOf(answers);
    }

    /** Creates a record without answers. */
    QuarantineRecord(List<Entry> entries) {
        this(entries, List.of());
    }

    /** Creates a record from crashes timed by the monotonic clock, whose current time is {@code nowMs}. */
    static QuarantineRecord of(List<Crash> crashes, long nowMs) {
        return of(crashes, Map.of(), nowMs);
    }

    /**
     * Creates a record like {@link #of(List, long)}.
     *
     * @param answeredAgoMs how long ago the last answered calls of suspects were sent
     */
    static QuarantineRecord of(List<Crash> crashes, Map<Fingerprint, Long> answeredAgoMs, long nowMs) {
        long epochMs = System.currentTimeMillis();
        return new QuarantineRecord(
                crashes.stream()
                        .map(c -> new Entry(c.suspect(), c.incarnation(), epochMs - (nowMs - c.atMs())))
                        .toList(),
                answeredAgoMs.entrySet().stream()
                        .map(e -> new Answer(e.getKey(), epochMs - e.getValue()))
                        .toList());
    }

    /** How long ago the answered calls were sent; future times are clamped to now. */
    Map<Fingerprint, Long> answeredAgoMs() {
        long epochMs = System.currentTimeMillis();
        return answers.stream()
                .collect(Collectors.toMap(Answer::suspect, a -> Math.max(0, epochMs - a.sentAtEpochMs()), Math::min));
    }

    /**
     * The crashes timed by the monotonic clock, whose current time is {@code nowMs}; future times are clamped to now.
     */
    List<Crash> crashes(long nowMs) {
        long epochMs = System.currentTimeMillis();
        return entries.stream()
                .map(e -> new Crash(e.request(), e.incarnation(), nowMs - Math.max(0, epochMs - e.atEpochMs())))
                .toList();
    }

    /** Whether this record contains every crash of another record. */
    boolean covers(QuarantineRecord other) {
        Set<Entry> known = entries.stream().map(Entry::withoutTime).collect(Collectors.toSet());
        return other.entries.stream().map(Entry::withoutTime).allMatch(known::contains);
    }

    /**
     * Encodes as MessagePack: the number of crashes, then for each the two halves of the fingerprint, the incarnation
     * and the time; the same of the answers, without an incarnation, which routers of earlier versions do not read.
     */
    byte[] encode() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(entries.size());
            for (Entry e : entries) {
                out.packLong(e.request().high()).packLong(e.request().low());
                out.packString(e.incarnation()).packLong(e.atEpochMs());
            }
            out.packArrayHeader(answers.size());
            for (Answer a : answers) {
                out.packLong(a.suspect().high()).packLong(a.suspect().low()).packLong(a.sentAtEpochMs());
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /** Decodes a record; the left side describes what is wrong with the bytes. */
    static Either<String, QuarantineRecord> decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int size = in.unpackArrayHeader();
            if (size > MAX_ENTRIES) {
                return Either.left("too many crashes: " + size);
            }
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                Fingerprint request = new Fingerprint(in.unpackLong(), in.unpackLong());
                entries.add(new Entry(request, in.unpackString(), in.unpackLong()));
            }
            int answered = in.hasNext() ? in.unpackArrayHeader() : 0;
            if (answered > MAX_ENTRIES) {
                return Either.left("too many answers: " + answered);
            }
            List<Answer> answers = new ArrayList<>();
            for (int i = 0; i < answered; i++) {
                answers.add(new Answer(new Fingerprint(in.unpackLong(), in.unpackLong()), in.unpackLong()));
            }
            return Either.right(new QuarantineRecord(entries, answers));
        } catch (IOException | MessagePackException e) {
            return Either.left(e.toString());
        }
    }
}
