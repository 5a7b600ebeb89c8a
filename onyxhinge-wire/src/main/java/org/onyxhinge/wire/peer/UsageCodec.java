package org.onyxhinge.wire.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.onyxhinge.core.place.ServiceRates;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.share.WorkspaceShares;
import org.onyxhinge.wire.frame.WireException;

/**
 * Encodes and decodes the message about a router's usage. Routers of earlier versions reject a message with more fields
 * than they know, so the last field is sent only if it is not empty.
 */
final class UsageCodec {

    private static final int FIELDS = 9;
    private static final int FIELDS_WITHOUT_WORKSPACES = 8;
    private static final int FIELDS_WITHOUT_RATES = 7;

    /** Rates are encoded as integers, in hundredths of a call per second. */
    private static final double RATE_SCALE = 100;

    /** Far above the number of targets and workspaces that a site is planned for; a larger map is invalid. */
    private static final int MAX_ENTRIES = 16_384;

    private UsageCodec() {}

    /** Number of fields of a message. */
    static int fields(PeerMessage.Usage u) {
        return u.workspaceUse().isEmpty() ? FIELDS_WITHOUT_WORKSPACES : FIELDS;
    }

    static void write(MessagePacker p, PeerMessage.Usage u) throws IOException {
        p.packString(u.routerId()).packLong(u.startId()).packBoolean(u.full());
        p.packMapHeader(u.uses().size());
        for (Map.Entry<String, TargetUse> e : u.uses().entrySet()) {
            p.packString(e.getKey());
            p.packArrayHeader(2);
            p.packInt(e.getValue().calls());
            p.packLong(e.getValue().prefillTokens());
        }
        writeUnits(p, u.totals());
        writeUnits(p, u.windows());
        p.packMapHeader(u.waiting().size());
        for (Map.Entry<String, Map<Integer, Integer>> e : u.waiting().entrySet()) {
            p.packString(e.getKey());
            writeCounts(p, e.getValue());
        }
        p.packMapHeader(u.rates().size());
        for (Map.Entry<String, ServiceRates> e : u.rates().entrySet()) {
            p.packString(e.getKey()).packInt(encodeRate(e.getValue().freed()));
            Map<Integer, Integer> arrived = new HashMap<>();
            e.getValue().arrivedByRank().forEach((rank, perSecond) -> arrived.put(rank, encodeRate(perSecond)));
            writeCounts(p, arrived);
        }
        if (!u.workspaceUse().isEmpty()) {
            writeWorkspaceUse(p, u.workspaceUse());
        }
    }

    private static void writeWorkspaceUse(MessagePacker p, Map<String, List<WorkspaceShares.Use>> byService)
            throws IOException {
        p.packMapHeader(byService.size());
        for (Map.Entry<String, List<WorkspaceShares.Use>> e : byService.entrySet()) {
            p.packString(e.getKey()).packArrayHeader(e.getValue().size());
            for (WorkspaceShares.Use use : e.getValue()) {
                p.packInt(use.rank()).packString(use.workspace()).packLong(use.usedMs());
            }
        }
    }

    private static Map<String, List<WorkspaceShares.Use>> readWorkspaceUse(MessageUnpacker u) throws IOException {
        Map<String, List<WorkspaceShares.Use>> byService = new HashMap<>();
        for (int remaining = readMapSize(u); remaining > 0; remaining--) {
            String service = u.unpackString();
            int n = u.unpackArrayHeader();
            if (n > MAX_ENTRIES) {
                throw new WireException("too many workspaces: " + n);
            }
            List<WorkspaceShares.Use> uses = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                uses.add(new WorkspaceShares.Use(u.unpackInt(), u.unpackString(), u.unpackLong()));
            }
            byService.put(service, uses);
        }
        return byService;
    }

    private static int encodeRate(double perSecond) {
        return (int) Math.round(perSecond * RATE_SCALE);
    }

    private static Map<String, ServiceRates> readRates(MessageUnpacker u) throws IOException {
        Map<String, ServiceRates> rates = new HashMap<>();
        for (int remaining = readMapSize(u); remaining > 0; remaining--) {
            String service = u.unpackString();
            double freed = u.unpackInt() / RATE_SCALE;
            Map<Integer, Double> arrived = new HashMap<>();
            readCounts(u).forEach((rank, perSecond) -> arrived.put(rank, perSecond / RATE_SCALE));
            rates.put(service, new ServiceRates(freed, arrived));
        }
        return rates;
    }

    static void writeCounts(MessagePacker p, Map<Integer, Integer> byPrecedence) throws IOException {
        p.packMapHeader(byPrecedence.size());
        for (Map.Entry<Integer, Integer> e : byPrecedence.entrySet()) {
            p.packInt(e.getKey()).packInt(e.getValue());
        }
    }

    private static void writeUnits(MessagePacker p, Map<String, Long> units) throws IOException {
        p.packMapHeader(units.size());
        for (Map.Entry<String, Long> e : units.entrySet()) {
            p.packString(e.getKey()).packLong(e.getValue());
        }
    }

    static PeerMessage.Usage read(MessageUnpacker u, int fields) throws IOException {
        if (fields < FIELDS_WITHOUT_RATES || fields > FIELDS) {
            throw new WireException("usage has " + fields + " fields, expected at most " + FIELDS);
        }
        String routerId = u.unpackString();
        long startId = u.unpackLong();
        boolean full = u.unpackBoolean();
        Map<String, TargetUse> uses = new HashMap<>();
        for (int remaining = readMapSize(u); remaining > 0; remaining--) {
            String target = u.unpackString();
            if (u.unpackArrayHeader() != 2) {
                throw new WireException("target use must have 2 fields");
            }
            uses.put(target, new TargetUse(u.unpackInt(), u.unpackLong()));
        }
        Map<String, Long> totals = readUnits(u);
        Map<String, Long> windows = readUnits(u);
        Map<String, Map<Integer, Integer>> waiting = readWaiting(u);
        Map<String, ServiceRates> rates = fields >= FIELDS_WITHOUT_WORKSPACES ? readRates(u) : Map.of();
        Map<String, List<WorkspaceShares.Use>> workspaceUse = fields == FIELDS ? readWorkspaceUse(u) : Map.of();
        return new PeerMessage.Usage(routerId, startId, full, uses, totals, windows, waiting, rates, workspaceUse);
    }

    private static Map<String, Map<Integer, Integer>> readWaiting(MessageUnpacker u) throws IOException {
        Map<String, Map<Integer, Integer>> waiting = new HashMap<>();
        for (int remaining = readMapSize(u); remaining > 0; remaining--) {
            waiting.put(u.unpackString(), readCounts(u));
        }
        return waiting;
    }

    static Map<Integer, Integer> readCounts(MessageUnpacker u) throws IOException {
        Map<Integer, Integer> byPrecedence = new HashMap<>();
        for (int remaining = readMapSize(u); remaining > 0; remaining--) {
            byPrecedence.put(u.unpackInt(), u.unpackInt());
        }
        return byPrecedence;
    }

    private static Map<String, Long> readUnits(MessageUnpacker u) throws IOException {
        Map<String, Long> units = new HashMap<>();
        for (int remaining = readMapSize(u); remaining > 0; remaining--) {
            units.put(u.unpackString(), u.unpackLong());
        }
        return units;
    }

    private static int readMapSize(MessageUnpacker u) throws IOException {
        int n = u.unpackMapHeader();
        if (n > MAX_ENTRIES) {
            throw new WireException("too many map entries: " + n);
        }
        return n;
    }
}
