package org.onyxhinge.wire;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.onyxhinge.core.order.Order;
import org.onyxhinge.core.order.OrderKind;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.core.place.ServiceRates;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.resume.StreamOrigin;
import org.onyxhinge.core.rollout.AnswerCell;
import org.onyxhinge.core.rollout.AnswerCount;
import org.onyxhinge.core.rollout.RolloutPhase;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.share.WorkspaceShares;
import org.onyxhinge.wire.frame.WireException;
import org.onyxhinge.wire.kv.KvChanges;
import org.onyxhinge.wire.kv.KvCodec;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.peer.PeerCodec;
import org.onyxhinge.wire.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Fuzz tests of the decoders for network input: any byte string either decodes or throws {@link WireException}, never
 * another exception, and an encoded message decodes to an equal one.
 */
class DecoderProperties {

    @Property(tries = 3_000, seed = "7")
    void peerDecoderThrowsOnlyWireException(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            PeerCodec.decode(bytes);
        } catch (WireException expected) {
            // the only exception allowed
        }
    }

    @Property(tries = 3_000, seed = "8")
    void kvDecoderThrowsOnlyWireException(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            KvCodec.decode(bytes);
        } catch (WireException expected) {
            // the only exception allowed
        }
    }

    @Property(tries = 500, seed = "9")
    void loadAndHelloRoundTrip(
            @ForAll int running, @ForAll int waiting, @ForAll List<Long> prefixes, @ForAll boolean draining) {
        PeerMessage.Load load =
                new PeerMessage.Load(running, waiting, prefixes.subList(0, Math.min(prefixes.size(), 50)), draining);
        assertThat(PeerCodec.decode(PeerCodec.encode(load)), equalTo(load));
        PeerMessage.Hello hello =
                new PeerMessage.Hello("a1", new EngineInfo("e1", "p", "127.0.0.1", 80, 8, 1_000, 50, draining));
        assertThat(PeerCodec.decode(PeerCodec.encode(hello)), equalTo(hello));
    }

    @Property(tries = 500, seed = "12")
    void preemptionAndOrderMessagesRoundTrip(
            @ForAll long id,
            @ForAll int rank,
            @ForAll boolean made,
            @ForAll OrderKind kind,
            @ForAll OrderStatus status) {
        for (PeerMessage m : List.of(
                new PeerMessage.Subscribe("r1"),
                new PeerMessage.AgentLeaving(),
                new PeerMessage.PreemptionRequest(id, rank),
                new PeerMessage.PreemptCommand(id, rank),
                new PeerMessage.PreemptResult(id, made),
                new PeerMessage.PreemptionReply(id, made),
                new PeerMessage.OrderRequest(id, new Order(kind, "v2", 1 + Math.abs(rank / 2))),
                new PeerMessage.OrderReply(id, status, "detail"))) {
            assertThat(PeerCodec.decode(PeerCodec.encode(m)), equalTo(m));
        }
    }

    @Property(tries = 300, seed = "14")
    void routerToRouterMessagesRoundTrip(
            @ForAll @Size(max = 20) Map<String, Long> units, @ForAll long startId, @ForAll boolean full) {
        Map<String, TargetUse> uses = Map.of("w1", new TargetUse(3, startId), "w2", new TargetUse(0, 0));
        Map<String, Map<Integer, Integer>> waiting = Map.of("writers", Map.of(0, 3, 1_002, 40), "mailroom", Map.of());
        Map<String, ServiceRates> rates = Map.of("writers", new ServiceRates(6.25, Map.of(0, 0.5, 1_002, 41.0)));
        Map<String, List<WorkspaceShares.Use>> shares =
                full ? Map.of("writers", List.of(new WorkspaceShares.Use(1_002, "agency", startId))) : Map.of();
        PeerMessage.Usage usage =
                new PeerMessage.Usage("r1", startId, full, uses, units, Map.of(), waiting, rates, shares);
        assertThat(PeerCodec.decode(PeerCodec.encode(usage)), equalTo(usage));
        PeerMessage.SlotReserved reserved = new PeerMessage.SlotReserved("w1");
        assertThat(PeerCodec.decode(PeerCodec.encode(reserved)), equalTo(reserved));
        PeerMessage.SlotDemand wanted = new PeerMessage.SlotDemand("r1", "writers", Map.of(2, 7, 5, 1));
        assertThat(PeerCodec.decode(PeerCodec.encode(wanted)), equalTo(wanted));
        PeerMessage.Crashes crashes = crashes(startId);
        assertThat(PeerCodec.decode(PeerCodec.encode(crashes)), equalTo(crashes));
        PeerMessage.TargetLimits limits = limits(startId);
        assertThat(PeerCodec.decode(PeerCodec.encode(limits)), equalTo(limits));
        PeerMessage.RefusedRequests refused =
                new PeerMessage.RefusedRequests(List.of(new PeerMessage.RefusedRequest(7, startId, -3, 900)));
        assertThat(PeerCodec.decode(PeerCodec.encode(refused)), equalTo(refused));
        PeerMessage.SuspectCompleted answered = new PeerMessage.SuspectCompleted(new Fingerprint(startId, 2), startId);
        assertThat(PeerCodec.decode(PeerCodec.encode(answered)), equalTo(answered));
    }

    @Property(tries = 300, seed = "16")
    void messagesAboutStreamOriginsRoundTrip(@ForAll long key, @ForAll boolean known) {
        StreamOrigin origin = new StreamOrigin("writers", "v" + key);
        List<PeerMessage> messages = List.of(
                new PeerMessage.StreamOriginCopy(key, origin),
                new PeerMessage.StreamOriginQuery("r1", key),
                new PeerMessage.StreamOriginReply(key, known ? Optional.of(origin) : Optional.empty()));
        messages.forEach(m -> assertThat(PeerCodec.decode(PeerCodec.encode(m)), equalTo(m)));
    }

    @Property(tries = 300, seed = "17")
    void messagesAboutTheStoreRoundTrip(@ForAll @Size(max = 20) Map<String, byte[]> values, @ForAll long number) {
        PeerMessage.StoreQuery query = new PeerMessage.StoreQuery("r1", number, number);
        assertThat(PeerCodec.decode(PeerCodec.encode(query)), equalTo(query));
        List<KvEntry> entries = values.entrySet().stream()
                .map(e -> new KvEntry(e.getKey(), e.getValue(), number, number, 7))
                .toList();
        KvChanges changes = new KvChanges(number, number > 0, entries, Map.of("gone", number));
        byte[] encoded = PeerCodec.encode(new PeerMessage.StoreReply(number, -1, number, changes));
        PeerMessage.StoreReply decoded = (PeerMessage.StoreReply) PeerCodec.decode(encoded);
        assertThat(PeerCodec.encode(decoded), equalTo(encoded));
        assertThat(decoded.changes().entries().size(), equalTo(entries.size()));
        assertThat(decoded.changes().deleted(), equalTo(changes.deleted()));
    }

    /** Guards against routers of the previous version, which know eight fields, losing their links to this one. */
    @Example
    void usageWithoutSharesIsTheMessageOfThePreviousVersion() {
        byte[] previous = {
            (byte) 0x99,
            11,
            (byte) 0xa1,
            'r',
            7,
            (byte) 0xc3,
            (byte) 0x80,
            (byte) 0x80,
            (byte) 0x80,
            (byte) 0x80,
            (byte) 0x80
        };
        PeerMessage.Usage usage =
                new PeerMessage.Usage("r", 7, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
        assertThat(PeerCodec.encode(usage), equalTo(previous));
        assertThat(PeerCodec.decode(previous), equalTo(usage));
    }

    @Property(tries = 300, seed = "15")
    void rolloutMessagesRoundTrip(@ForAll long id, @ForAll RolloutPhase phase, @ForAll boolean trial) {
        PeerMessage.RolloutUpdate update = new PeerMessage.RolloutUpdate("writers", id, phase, 7);
        assertThat(PeerCodec.decode(PeerCodec.encode(update)), equalTo(update));
        PeerMessage.AnswerReport answers =
                new PeerMessage.AnswerReport(new AnswerCell("draft", "w1@7", trial), new AnswerCount(id, 3));
        PeerMessage.RolloutReport report =
                new PeerMessage.RolloutReport("r1", id, "writers", id, phase, 900, 4, List.of(answers));
        assertThat(PeerCodec.decode(PeerCodec.encode(report)), equalTo(report));
    }

    private static PeerMessage.TargetLimits limits(long number) {
        return new PeerMessage.TargetLimits(List.of(
                new PeerMessage.LimitReport("w1@7", true, 2.4, number),
                new PeerMessage.LimitReport("w2", false, 0, 7)));
    }

    private static PeerMessage.Crashes crashes(long number) {
        Fingerprint request = new Fingerprint(number, -number);
        return new PeerMessage.Crashes(List.of(
                new PeerMessage.CrashReport(request, "w1@7", 90), new PeerMessage.CrashReport(request, "w2", number)));
    }

    /** Corrupts one byte of a valid message, which reaches more of the decoder than random bytes do. */
    @Property(tries = 3_000, seed = "13")
    void corruptedMessageThrowsOnlyWireException(
            @ForAll @IntRange(max = 100) int position, @ForAll byte corruptByte, @ForAll OrderKind kind) {
        byte[] order = PeerCodec.encode(new PeerMessage.OrderRequest(7, new Order(kind, "model-v2", 12)));
        byte[] put = KvCodec.encode(new KvMessage.Put(7, "config/tier/gold", new byte[] {1, 2}, 3, 4));
        byte[] usage = PeerCodec.encode(new PeerMessage.Usage(
                "r1",
                7,
                true,
                Map.of("w1", new TargetUse(3, 900)),
                Map.of("agency", 70L),
                Map.of("agency", 7L),
                Map.of("writers", Map.of(1, 4)),
                Map.of("writers", new ServiceRates(2, Map.of(1, 3.5))),
                Map.of("writers", List.of(new WorkspaceShares.Use(1, "agency", 70)))));
        byte[] crashes = PeerCodec.encode(crashes(7));
        crashes[position % crashes.length] = corruptByte;
        peerDecoderThrowsOnlyWireException(crashes);
        byte[] limits = PeerCodec.encode(limits(7));
        limits[position % limits.length] = corruptByte;
        peerDecoderThrowsOnlyWireException(limits);
        order[position % order.length] = corruptByte;
        usage[position % usage.length] = corruptByte;
        peerDecoderThrowsOnlyWireException(usage);
        put[position % put.length] = corruptByte;
        peerDecoderThrowsOnlyWireException(order);
        kvDecoderThrowsOnlyWireException(put);
    }

    @Property(tries = 500, seed = "10")
    void kvCallsRoundTrip(@ForAll long callId, @ForAll String key, @ForAll long version) {
        KvMessage.Watch watch = new KvMessage.Watch(callId, key, version);
        assertThat(KvCodec.decode(KvCodec.encode(watch)), equalTo(watch));
        KvMessage.Delete delete = new KvMessage.Delete(callId, key, version);
        assertThat(KvCodec.decode(KvCodec.encode(delete)), equalTo(delete));
    }

    /** Guards against memory taken for bytes that a message only announces, which would end the process. */
    @Example
    void announcedBytesTakeNoMemory() throws IOException {
        MessageBufferPacker reply = MessagePack.newDefaultBufferPacker();
        reply.packArrayHeader(8).packInt(24).packLong(1).packLong(2).packLong(3).packLong(4);
        reply.packBoolean(false).packArrayHeader(1).packString("k").packBinaryHeader(Integer.MAX_VALUE);
        assertThrows(WireException.class, () -> PeerCodec.decode(reply.toByteArray()));
        MessageBufferPacker put = MessagePack.newDefaultBufferPacker();
        put.packArrayHeader(6).packInt(3).packLong(1).packString("k").packBinaryHeader(Integer.MAX_VALUE);
        assertThrows(WireException.class, () -> KvCodec.decode(put.toByteArray()));
    }
}
