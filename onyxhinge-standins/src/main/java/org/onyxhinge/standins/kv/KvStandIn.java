package org.onyxhinge.standins.kv;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.frame.FrameReader;
import org.onyxhinge.wire.frame.WireException;
import org.onyxhinge.wire.kv.KvCodec;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStatus;

/**
 * An in-memory key-value service with compare-and-swap, leases and prefix watches, over the protocol
 * of {@link org.onyxhinge.wire.kv}. All state is confined to one event-loop context. A bounded history
 * allows a watch that is re-established after a reconnect to replay the changes it missed; a watch from
 * before the history is answered with {@link KvStatus#COMPACTED}. Injected faults ({@link KvFaults}) make
 * the service unavailable, delay replies or drop them.
 */
public final class KvStandIn implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(KvStandIn.class);
    private static final int MAX_HISTORY_EVENTS = 50_000;
    private static final long EXPIRY_SCAN_MS = 50;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_PAGE_BYTES = 1 << 20;
    /** The fields of an entry beside its key and its value. */
    private static final int ENTRY_BYTES = 64;

    private final Vertx vertx;
    private final Context context;
    private final Random random;
    private final TreeMap<String, KvEntry> data = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<KvMessage.Event> history = new ArrayDeque<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final Map<String, Long> callsByType = new TreeMap<>();
    private NetServer server;
    private long revision;
    private long compactedRevision;
    private long nextLeaseId = 1;
    private KvFaults faults = KvFaults.none();
    private long timerId;

    private KvStandIn(Vertx vertx, long seed) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.random = new Random(seed);
    }

    /** Starts listening on {@code host:port} (0 for any free port). */
    public static Future<KvStandIn> start(Vertx vertx, String host, int port, long seed) {
        KvStandIn kv = new KvStandIn(vertx, seed);
        return kv.listen(host, port).map(kv);
    }

    private Future<Void> listen(String host, int port) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(v -> {
            server = vertx.createNetServer().connectHandler(this::accept);
            timerId = vertx.setPeriodic(EXPIRY_SCAN_MS, t -> expireLeases());
            server.listen(port, host).<Void>mapEmpty().onComplete(done);
        });
        return done.future();
    }

    /** The port on which it listens. */
    public int port() {
        return server.actualPort();
    }

    /** Sets the faults to inject from now on. */
    public void faults(KvFaults next) {
        context.runOnContext(v -> {
            faults = next;
            LOG.infof(
                    "kv faults set down=%s delayMs=%d lostReplyPercent=%d",
                    next.down(), next.delayMs(), next.lostReplyPercent());
        });
    }

    /** Calls by type, number of keys, revision and other figures, for the stand-in's status endpoint. */
    public Future<JsonObject> stats() {
        Promise<JsonObject> p = Promise.promise();
        context.runOnContext(v -> {
            JsonObject calls = new JsonObject();
            callsByType.forEach(calls::put);
            p.complete(new JsonObject()
                    .put("revision", revision)
                    .put("keys", data.size())
                    .put("leases", leases.size())
                    .put("watchers", watchers.size())
                    .put("prefixes", prefixes())
                    .put("calls", calls));
        });
        return p.future();
    }

    /** The first path elements of the keys held, each with its slash. */
    private JsonArray prefixes() {
        return new JsonArray(data.keySet().stream()
                .map(k -> k.substring(0, k.indexOf('/') + 1))
                .distinct()
                .toList());
    }

    @Override
    public void close() {
        vertx.cancelTimer(timerId);
        if (server != null) {
            server.close();
        }
    }

    private void accept(NetSocket socket) {
        socket.handler(FrameReader.create(body -> handleCall(socket, body), e -> reject(socket, e)));
        socket.closeHandler(v -> watchers.removeIf(w -> w.socket == socket));
    }

    private void reject(NetSocket socket, WireException e) {
        LOG.warnf("kv frame rejected remote=%s error=%s", socket.remoteAddress(), e.getMessage());
        socket.close();
    }

    private void handleCall(NetSocket socket, Buffer body) {
        KvMessage m;
        try {
            m = KvCodec.decode(body.getBytes());
        } catch (WireException e) {
            reject(socket, e);
            return;
        }
        if (!(m instanceof KvMessage.Call c)) {
            reject(
                    socket,
                    new WireException("unexpected message from the client: "
                            + m.getClass().getSimpleName()));
            return;
        }
        callsByType.merge(c.getClass().getSimpleName(), 1L, Long::sum);
        if (faults.down()) {
            sendReply(socket, new KvMessage.Reply(c.callId(), KvStatus.UNAVAILABLE, revision, List.of(), 0), false);
            return;
        }
        if (c instanceof KvMessage.Watch w && w.fromRevision() < compactedRevision) {
            sendReply(socket, new KvMessage.Reply(c.callId(), KvStatus.COMPACTED, revision, List.of(), 0), false);
            return;
        }
        KvMessage.Reply reply = apply(socket, c);
        boolean write = c instanceof KvMessage.Put || c instanceof KvMessage.Delete;
        sendReply(socket, reply, write);
        if (c instanceof KvMessage.Watch w) {
            replay(watchers.get(watchers.size() - 1), w.fromRevision());
        }
    }

    private void sendReply(NetSocket socket, KvMessage.Reply reply, boolean write) {
        if (write && faults.lostReplyPercent() > 0 && random.nextInt(100) < faults.lostReplyPercent()) {
            return;
        }
        Buffer frame = FrameReader.frame(KvCodec.encode(reply));
        if (faults.delayMs() > 0) {
            vertx.setTimer(faults.delayMs(), t -> socket.write(frame));
        } else {
            socket.write(frame);
        }
    }

    private KvMessage.Reply apply(NetSocket socket, KvMessage.Call c) {
        return switch (c) {
            case KvMessage.Get g ->
                ok(g.callId(), data.containsKey(g.key()) ? List.of(data.get(g.key())) : List.of(), 0);
            case KvMessage.Range r -> range(r);
            case KvMessage.Put p -> put(p);
            case KvMessage.Delete d -> delete(d);
            case KvMessage.Watch w -> watch(socket, w);
            case KvMessage.LeaseGrant g -> grant(g);
            case KvMessage.LeaseKeepAlive k -> keepAlive(k);
            case KvMessage.LeaseRevoke r -> revoke(r);
        };
    }

    /** As many keys as fit into one reply; an entry of the largest size has one of its own. */
    private KvMessage.Reply range(KvMessage.Range r) {
        List<KvEntry> page = new ArrayList<>();
        int bytes = 0;
        String first = r.afterKey().isEmpty() ? r.prefix() : r.afterKey();
        for (KvEntry entry : data.subMap(first, r.afterKey().isEmpty(), r.prefix() + Character.MAX_VALUE, false)
                .values()) {
            bytes += entry.key().length() + entry.value().length + ENTRY_BYTES;
            if (bytes > MAX_PAGE_BYTES && !page.isEmpty()) {
                return new KvMessage.Reply(r.callId(), KvStatus.OK, revision, page, 0, true);
            }
            page.add(entry);
        }
        return ok(r.callId(), page, 0);
    }

    private KvMessage.Reply put(KvMessage.Put p) {
        KvEntry old = data.get(p.key());
        if (!isExpectedVersion(old, p.expectedVersion())) {
            return new KvMessage.Reply(
                    p.callId(), KvStatus.CONFLICT, revision, old == null ? List.of() : List.of(old), 0);
        }
        if (p.leaseId() != 0 && !leases.containsKey(p.leaseId())) {
            return new KvMessage.Reply(p.callId(), KvStatus.NOT_FOUND, revision, List.of(), p.leaseId());
        }
        if (p.value().length > MAX_VALUE_BYTES) {
            return new KvMessage.Reply(p.callId(), KvStatus.CONFLICT, revision, List.of(), 0);
        }
        KvEntry next = new KvEntry(p.key(), p.value(), old == null ? 1 : old.version() + 1, ++revision, p.leaseId());
        data.put(p.key(), next);
        if (p.leaseId() != 0) {
            leases.get(p.leaseId()).keys.add(p.key());
        }
        publish(new KvMessage.Event(0, revision, false, next));
        return ok(p.callId(), List.of(next), 0);
    }

    private KvMessage.Reply delete(KvMessage.Delete d) {
        KvEntry old = data.get(d.key());
        if (old == null) {
            return new KvMessage.Reply(d.callId(), KvStatus.NOT_FOUND, revision, List.of(), 0);
        }
        if (!isExpectedVersion(old, d.expectedVersion())) {
            return new KvMessage.Reply(d.callId(), KvStatus.CONFLICT, revision, List.of(old), 0);
        }
        remove(d.key());
        return ok(d.callId(), List.of(), 0);
    }

    private void remove(String key) {
        KvEntry old = data.remove(key);
        if (old != null) {
            publish(new KvMessage.Event(
                    0, ++revision, true, new KvEntry(key, old.value(), 0, revision, old.leaseId())));
        }
    }

    private static boolean isExpectedVersion(KvEntry old, long expected) {
        if (expected == KvMessage.ANY) {
            return true;
        }
        long current = old == null ? KvMessage.ABSENT : old.version();
        return current == expected;
    }

    private KvMessage.Reply watch(NetSocket socket, KvMessage.Watch w) {
        watchers.add(new Watcher(socket, w.callId(), w.prefix()));
        return ok(w.callId(), List.of(), 0);
    }

    private void replay(Watcher watcher, long fromRevision) {
        for (KvMessage.Event e : history) {
            if (e.revision() > fromRevision && e.entry().key().startsWith(watcher.prefix)) {
                watcher.send(e);
            }
        }
    }

    /** Discards the history, so that watches from an earlier revision must read the keys again. */
    public void compact() {
        context.runOnContext(v -> {
            history.clear();
            compactedRevision = revision;
            LOG.infof("kv history compacted revision=%d", revision);
        });
    }

    private void publish(KvMessage.Event e) {
        history.addLast(e);
        if (history.size() > MAX_HISTORY_EVENTS) {
            compactedRevision = history.removeFirst().revision();
        }
        for (Watcher w : watchers) {
            if (e.entry().key().startsWith(w.prefix)) {
                w.send(e);
            }
        }
    }

    private KvMessage.Reply grant(KvMessage.LeaseGrant g) {
        long id = nextLeaseId++;
        leases.put(id, new Lease(g.ttlMs(), MonotonicClock.nowMs() + g.ttlMs()));
        return ok(g.callId(), List.of(), id);
    }

    private KvMessage.Reply keepAlive(KvMessage.LeaseKeepAlive k) {
        Lease lease = leases.get(k.leaseId());
        if (lease == null) {
            return new KvMessage.Reply(k.callId(), KvStatus.NOT_FOUND, revision, List.of(), k.leaseId());
        }
        lease.expiresAtMs = MonotonicClock.nowMs() + lease.ttlMs;
        return ok(k.callId(), List.of(), k.leaseId());
    }

    private KvMessage.Reply revoke(KvMessage.LeaseRevoke r) {
        Lease lease = leases.remove(r.leaseId());
        if (lease != null) {
            removeKeys(r.leaseId(), lease);
        }
        return ok(r.callId(), List.of(), r.leaseId());
    }

    private void expireLeases() {
        long now = MonotonicClock.nowMs();
        List<Long> expired = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.expiresAtMs <= now) {
                expired.add(id);
            }
        });
        for (long id : expired) {
            LOG.debugf("kv lease expired lease=%d", id);
            removeKeys(id, leases.remove(id));
        }
    }

    /** Deletes the keys that are still bound to an ended lease; a key since rebound to another lease is kept. */
    private void removeKeys(long leaseId, Lease lease) {
        for (String key : lease.keys) {
            KvEntry entry = data.get(key);
            if (entry != null && entry.leaseId() == leaseId) {
                remove(key);
            }
        }
    }

    private KvMessage.Reply ok(long callId, List<KvEntry> entries, long leaseId) {
        return new KvMessage.Reply(callId, KvStatus.OK, revision, entries, leaseId);
    }

    private static final class Lease {
        private final long ttlMs;
        private final Set<String> keys = new HashSet<>();
        private long expiresAtMs;

        private Lease(long ttlMs, long expiresAtMs) {
            this.ttlMs = ttlMs;
            this.expiresAtMs = expiresAtMs;
        }
    }

    private static final class Watcher {
        private final NetSocket socket;
        private final long id;
        private final String prefix;

        private Watcher(NetSocket socket, long id, String prefix) {
            this.socket = socket;
            this.id = id;
            this.prefix = prefix;
        }

        private void send(KvMessage.Event e) {
            KvMessage.Event watchEvent = new KvMessage.Event(id, e.revision(), e.deleted(), e.entry());
            socket.write(FrameReader.frame(KvCodec.encode(watchEvent)));
        }
    }
}
