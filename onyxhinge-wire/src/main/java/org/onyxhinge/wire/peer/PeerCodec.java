package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.order.Order;
import org.onyxhinge.core.order.OrderKind;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.wire.frame.WireException;

/**
 * MessagePack codec for {@link PeerMessage}: an array whose first element is a type tag, then the
 * record's fields in declaration order. Unknown tags and malformed bodies throw {@link WireException}.
 */
public final class PeerCodec {

    private static final int HELLO = 1;
    private static final int LOAD = 2;
    private static final int AGENT_LEAVING = 3;
    private static final int SUBSCRIBE = 4;
    private static final int PREEMPTION_REQUEST = 5;
    private static final int PREEMPT_COMMAND = 6;
    private static final int PREEMPT_RESULT = 7;
    private static final int PREEMPTION_REPLY = 8;
    private static final int ORDER_REQUEST = 9;
    private static final int ORDER_REPLY = 10;
    private static final int USAGE = 11;
    private static final int SLOT_RESERVED = 12;
    private static final int SLOT_DEMAND = 13;
    private static final int CRASHES = 14;
    private static final int SUSPECT_COMPLETED = 15;
    private static final int TARGET_LIMITS = 16;
    private static final int ROLLOUT_UPDATE = 17;
    private static final int ROLLOUT_REPORT = 18;
    private static final int REFUSED_REQUESTS = 19;
    private static final int STREAM_ORIGIN_COPY = 20;
    private static final int STREAM_ORIGIN_QUERY = 21;
    private static final int STREAM_ORIGIN_REPLY = 22;
    private static final int STORE_QUERY = 23;
    private static final int STORE_REPLY = 24;

    private static final int MAX_PREFIXES = 4_096;
    private static final int MAX_CRASHES = 65_536;
    private static final int MAX_LIMITS = 16_384;

    private PeerCodec() {}

    /** Encodes a message into a frame body. */
    public static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            write(p, message);
            return p.toByteArray();
        } catch (IOException e) {
            throw new WireException("cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    private static void write(MessagePacker p, PeerMessage message) throws IOException {
        switch (message) {
            case PeerMessage.Hello h -> writeHello(p, h);
            case PeerMessage.Load l -> writeLoad(p, l);
            case PeerMessage.AgentLeaving b -> writeHeader(p, AGENT_LEAVING, 0);
            case PeerMessage.Subscribe s -> writeHeader(p, SUBSCRIBE, 1).packString(s.routerId());
            case PeerMessage.PreemptionRequest r ->
                writeHeader(p, PREEMPTION_REQUEST, 2).packLong(r.askId()).packInt(r.rank());
            case PeerMessage.PreemptCommand y ->
                writeHeader(p, PREEMPT_COMMAND, 2).packLong(y.turnId()).packInt(y.rank());
            case PeerMessage.PreemptResult y ->
                writeHeader(p, PREEMPT_RESULT, 2).packLong(y.turnId()).packBoolean(y.made());
            case PeerMessage.PreemptionReply r ->
                writeHeader(p, PREEMPTION_REPLY, 2).packLong(r.askId()).packBoolean(r.made());
            case PeerMessage.OrderRequest o ->
                writeHeader(p, ORDER_REQUEST, 4)
                        .packLong(o.orderId())
                        .packInt(o.order().kind().ordinal())
                        .packString(o.order().argument())
                        .packLong(o.order().fencingToken());
            case PeerMessage.Usage u -> UsageCodec.write(writeHeader(p, USAGE, UsageCodec.fields(u)), u);
            case PeerMessage.SlotReserved r -> writeHeader(p, SLOT_RESERVED, 1).packString(r.targetId());
            case PeerMessage.SlotDemand w -> {
                writeHeader(p, SLOT_DEMAND, 3).packString(w.routerId()).packString(w.service());
                UsageCodec.writeCounts(p, w.waiting());
            }
            case PeerMessage.Crashes c -> writeCrashes(p, c);
            case PeerMessage.SuspectCompleted a -> {
                writeHeader(p, SUSPECT_COMPLETED, 3);
                writeFingerprint(p, a.suspect());
                p.packLong(a.agoMs());
            }
            case PeerMessage.TargetLimits l -> writeLimits(p, l);
            case PeerMessage.RolloutUpdate u ->
                RolloutCodec.write(writeHeader(p, ROLLOUT_UPDATE, RolloutCodec.UPDATE_FIELDS), u);
            case PeerMessage.RolloutReport r ->
                RolloutCodec.write(writeHeader(p, ROLLOUT_REPORT, RolloutCodec.REPORT_FIELDS), r);
            case PeerMessage.RefusedRequests r ->
                RefusalCodec.write(writeHeader(p, REFUSED_REQUESTS, RefusalCodec.FIELDS), r);
            case PeerMessage.StreamOriginCopy c ->
                StreamOriginCodec.write(writeHeader(p, STREAM_ORIGIN_COPY, StreamOriginCodec.COPY_FIELDS), c);
            case PeerMessage.StreamOriginQuery q ->
                StreamOriginCodec.write(writeHeader(p, STREAM_ORIGIN_QUERY, StreamOriginCodec.QUERY_FIELDS), q);
            case PeerMessage.StreamOriginReply r ->
                StreamOriginCodec.write(writeHeader(p, STREAM_ORIGIN_REPLY, StreamOriginCodec.fields(r)), r);
            case PeerMessage.StoreQuery q ->
                StoreRelayCodec.write(writeHeader(p, STORE_QUERY, StoreRelayCodec.QUERY_FIELDS), q);
            case PeerMessage.StoreReply r ->
                StoreRelayCodec.write(writeHeader(p, STORE_REPLY, StoreRelayCodec.REPLY_FIELDS), r);
            case PeerMessage.OrderReply o ->
                writeHeader(p, ORDER_REPLY, 3)
                        .packLong(o.orderId())
                        .packInt(o.status().ordinal())
                        .packString(o.detail());
        }
    }

    private static MessagePacker writeHeader(MessagePacker p, int tag, int fields) throws IOException {
        return p.packArrayHeader(fields + 1).packInt(tag);
    }

    /** Decodes a frame body; throws {@link WireException} if it is not a valid peer message. */
    public static PeerMessage decode(byte[] body) {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(body)) {
            int fields = u.unpackArrayHeader() - 1;
            return read(u, u.unpackInt(), fields);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new WireException("malformed peer message: " + e.getMessage(), e);
        }
    }

    private static PeerMessage read(MessageUnpacker u, int tag, int fields) throws IOException {
        return switch (tag) {
            case HELLO -> readHello(u, fields);
            case LOAD -> readLoad(u, fields);
            case AGENT_LEAVING -> {
                requireFields(u, fields, 0);
                yield new PeerMessage.AgentLeaving();
            }
            case SUBSCRIBE ->
                new PeerMessage.Subscribe(requireFields(u, fields, 1).unpackString());
            case PREEMPTION_REQUEST ->
                new PeerMessage.PreemptionRequest(requireFields(u, fields, 2).unpackLong(), u.unpackInt());
            case PREEMPT_COMMAND ->
                new PeerMessage.PreemptCommand(requireFields(u, fields, 2).unpackLong(), u.unpackInt());
            case PREEMPT_RESULT ->
                new PeerMessage.PreemptResult(requireFields(u, fields, 2).unpackLong(), u.unpackBoolean());
            case PREEMPTION_REPLY ->
                new PeerMessage.PreemptionReply(requireFields(u, fields, 2).unpackLong(), u.unpackBoolean());
            case ORDER_REQUEST ->
                new PeerMessage.OrderRequest(
                        requireFields(u, fields, 4).unpackLong(),
                        new Order(enumValue(OrderKind.values(), u.unpackInt()), u.unpackString(), u.unpackLong()));
            case USAGE -> UsageCodec.read(u, fields);
            case SLOT_RESERVED ->
                new PeerMessage.SlotReserved(requireFields(u, fields, 1).unpackString());
            case SLOT_DEMAND ->
                new PeerMessage.SlotDemand(
                        requireFields(u, fields, 3).unpackString(), u.unpackString(), UsageCodec.readCounts(u));
            case CRASHES -> readCrashes(u, fields);
            case SUSPECT_COMPLETED ->
                new PeerMessage.SuspectCompleted(readFingerprint(requireFields(u, fields, 3)), u.unpackLong());
            case TARGET_LIMITS -> readLimits(u, fields);
            case ROLLOUT_UPDATE -> RolloutCodec.readUpdate(requireFields(u, fields, RolloutCodec.UPDATE_FIELDS));
            case ROLLOUT_REPORT -> RolloutCodec.readReport(requireFields(u, fields, RolloutCodec.REPORT_FIELDS));
            case REFUSED_REQUESTS -> RefusalCodec.read(requireFields(u, fields, RefusalCodec.FIELDS));
            case STREAM_ORIGIN_COPY ->
                StreamOriginCodec.readCopy(requireFields(u, fields, StreamOriginCodec.COPY_FIELDS));
            case STREAM_ORIGIN_QUERY ->
                StreamOriginCodec.readQuery(requireFields(u, fields, StreamOriginCodec.QUERY_FIELDS));
            case STREAM_ORIGIN_REPLY ->
                StreamOriginCodec.readReply(
                        fields == StreamOriginCodec.UNKNOWN_FIELDS
                                ? u
                                : requireFields(u, fields, StreamOriginCodec.COPY_FIELDS),
                        fields);
            case STORE_QUERY -> StoreRelayCodec.readQuery(requireFields(u, fields, StoreRelayCodec.QUERY_FIELDS));
            case STORE_REPLY -> StoreRelayCodec.readReply(requireFields(u, fields, StoreRelayCodec.REPLY_FIELDS));
            case ORDER_REPLY ->
                new PeerMessage.OrderReply(
                        requireFields(u, fields, 3).unpackLong(),
                        enumValue(OrderStatus.values(), u.unpackInt()),
                        u.unpackString());
            default -> throw new WireException("unknown peer message tag " + tag);
        };
    }

    private static void writeHello(MessagePacker p, PeerMessage.Hello h) throws IOException {
        EngineInfo e = h.engine();
        writeHeader(p, HELLO, 9).packString(h.agentId()).packString(e.engineId());
        p.packString(e.pool()).packString(e.host()).packInt(e.port()).packInt(e.maxBatch());
        p.packInt(e.prefillTokensPerSecond()).packInt(e.decodeTokensPerSecond()).packBoolean(e.checksFencing());
    }

    private static PeerMessage.Hello readHello(MessageUnpacker u, int fields) throws IOException {
        String agentId = requireFields(u, fields, 9).unpackString();
        EngineInfo e = new EngineInfo(
                u.unpackString(),
                u.unpackString(),
                u.unpackString(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackBoolean());
        return new PeerMessage.Hello(agentId, e);
    }

    private static void writeLoad(MessagePacker p, PeerMessage.Load l) throws IOException {
        writeHeader(p, LOAD, 4).packInt(l.running()).packInt(l.waiting());
        p.packArrayHeader(l.cachedPrefixes().size());
        for (long hash : l.cachedPrefixes()) {
            p.packLong(hash);
        }
        p.packBoolean(l.draining());
    }

    private static PeerMessage.Load readLoad(MessageUnpacker u, int fields) throws IOException {
        int running = requireFields(u, fields, 4).unpackInt();
        int waiting = u.unpackInt();
        int n = u.unpackArrayHeader();
        if (n > MAX_PREFIXES) {
            throw new WireException("load report has " + n + " prefixes, limit " + MAX_PREFIXES);
        }
        List<Long> prefixes = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            prefixes.add(u.unpackLong());
        }
        return new PeerMessage.Load(running, waiting, prefixes, u.unpackBoolean());
    }

    private static void writeCrashes(MessagePacker p, PeerMessage.Crashes c) throws IOException {
        writeHeader(p, CRASHES, 1).packArrayHeader(c.crashes().size());
        for (PeerMessage.CrashReport crash : c.crashes()) {
            writeFingerprint(p, crash.suspect());
            p.packString(crash.incarnation()).packLong(crash.agoMs());
        }
    }

    private static PeerMessage.Crashes readCrashes(MessageUnpacker u, int fields) throws IOException {
        int n = requireFields(u, fields, 1).unpackArrayHeader();
        if (n > MAX_CRASHES) {
            throw new WireException("too many crash entries: " + n);
        }
        List<PeerMessage.CrashReport> crashes = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            crashes.add(new PeerMessage.CrashReport(readFingerprint(u), u.unpackString(), u.unpackLong()));
        }
        return new PeerMessage.Crashes(crashes);
    }

    private static void writeLimits(MessagePacker p, PeerMessage.TargetLimits l) throws IOException {
        writeHeader(p, TARGET_LIMITS, 1).packArrayHeader(l.limits().size());
        for (PeerMessage.LimitReport limit : l.limits()) {
            p.packString(limit.incarnation()).packBoolean(limit.advertised());
            p.packDouble(limit.perSecond()).packLong(limit.agoMs());
        }
    }

    private static PeerMessage.TargetLimits readLimits(MessageUnpacker u, int fields) throws IOException {
        int n = requireFields(u, fields, 1).unpackArrayHeader();
        if (n > MAX_LIMITS) {
            throw new WireException("too many target limit entries: " + n);
        }
        List<PeerMessage.LimitReport> limits = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            limits.add(
                    new PeerMessage.LimitReport(u.unpackString(), u.unpackBoolean(), u.unpackDouble(), u.unpackLong()));
        }
        return new PeerMessage.TargetLimits(limits);
    }

    private static void writeFingerprint(MessagePacker p, Fingerprint f) throws IOException {
        p.packLong(f.high()).packLong(f.low());
    }

    private static Fingerprint readFingerprint(MessageUnpacker u) throws IOException {
        return new Fingerprint(u.unpackLong(), u.unpackLong());
    }

    static <T> T enumValue(T[] all, int ordinal) {
        if (ordinal < 0 || ordinal >= all.length) {
            throw new WireException("enum ordinal " + ordinal + " out of range, number of values: " + all.length);
        }
        return all[ordinal];
    }

    private static MessageUnpacker requireFields(MessageUnpacker u, int fields, int expected) {
        if (fields != expected) {
            throw new WireException("peer message has " + fields + " fields, expected " + expected);
        }
        return u;
    }
}
