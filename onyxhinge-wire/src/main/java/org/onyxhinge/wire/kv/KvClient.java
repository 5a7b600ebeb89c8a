package org.onyxhinge.wire.kv;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.Predicate;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.frame.FrameReader;
import org.onyxhinge.wire.frame.WireException;

/**
 * A client of the key-value service over one TCP connection that reconnects with exponential backoff.
 * Calls fail with {@link KvException} immediately while there is no connection, and after
 * {@code callTimeoutMs} without a reply. A write that timed out may still have taken effect; a caller
 * that must know reads the key back. After a reconnect, watches are re-established from the last
 * revision they received.
 *
 * <p>All state is confined to the client's Vert.x context; methods may be called from any thread.
 */
public final class KvClient implements KvStore, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(KvClient.class);
    private static final long MAX_BACKOFF_MS = 2_000;
    private static final long INITIAL_BACKOFF_MS = 50;
    private static final long WATCH_RETRY_MS = 200;
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 3;

    private final Vertx vertx;
    private final Context context;
    private final String host;
    private final int port;
    private final long callTimeoutMs;
    private final NetClient net;
    private final Map<Long, Promise<KvMessage.Reply>> pending = new HashMap<>();
    private final Map<Long, WatchState> watches = new HashMap<>();
    private NetSocket socket;
    private long nextCallId = 1;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private int consecutiveTimeouts;
    private long callCount;
    private boolean closed;

    private KvClient(Vertx vertx, String host, int port, long callTimeoutMs) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.host = host;
        this.port = port;
        this.callTimeoutMs = callTimeoutMs;
        this.net = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout((int) callTimeoutMs).setTcpNoDelay(true));
    }

    /** Creates a client and starts connecting; calls before the connection is established fail as unavailable. */
    public static KvClient connect(Vertx vertx, String host, int port, long callTimeoutMs) {
        KvClient client = new KvClient(vertx, host, port, callTimeoutMs);
        client.context.runOnContext(v -> client.openConnection());
        return client;
    }

    @Override
    public Future<KvMessage.Reply> get(String key) {
        return call(id -> new KvMessage.Get(id, key));
    }

    @Override
    public Future<KvMessage.Reply> range(String prefix) {
        return range(prefix, entry -> true);
    }

    @Override
    public Future<KvMessage.Reply> range(String prefix, Predicate<KvEntry> mayBeOfUse) {
        return readPage(prefix, "", mayBeOfUse, new ArrayList<>(), -1);
    }

    /**
     * The pages are not one snapshot, so a watch must continue from the revision of the first page.
     *
     * @param firstRevision revision of the first page; -1 to read that one
     */
    private Future<KvMessage.Reply> readPage(
            String prefix, String afterKey, Predicate<KvEntry> mayBeOfUse, List<KvEntry> read, long firstRevision) {
        return call(id -> new KvMessage.Range(id, prefix, afterKey)).compose(page -> {
            long revision = firstRevision < 0 ? page.revision() : firstRevision;
            page.entries().forEach(e -> read.add(mayBeOfUse.test(e) ? e : e.withoutValue()));
            return page.more() && !page.entries().isEmpty()
                    ? readPage(prefix, page.entries().getLast().key(), mayBeOfUse, read, revision)
                    : Future.succeededFuture(
                            new KvMessage.Reply(page.callId(), page.status(), revision, read, page.leaseId()));
        });
    }

    @Override
    public Future<KvMessage.Reply> put(String key, byte[] value, long expectedVersion, long leaseId) {
        return call(id -> new KvMessage.Put(id, key, value, expectedVersion, leaseId));
    }

    @Override
    public Future<KvMessage.Reply> delete(String key, long expectedVersion) {
        return call(id -> new KvMessage.Delete(id, key, expectedVersion));
    }

    @Override
    public Future<KvMessage.Reply> grant(long ttlMs) {
        return call(id -> new KvMessage.LeaseGrant(id, ttlMs));
    }

    @Override
    public Future<KvMessage.Reply> keepAlive(long leaseId) {
        return call(id -> new KvMessage.LeaseKeepAlive(id, leaseId));
    }

    @Override
    public Future<KvMessage.Reply> revoke(long leaseId) {
        return call(id -> new KvMessage.LeaseRevoke(id, leaseId));
    }

    @Override
    public void watch(String prefix, long fromRevision, Handler<KvMessage.Event> events, Runnable ended) {
        context.runOnContext(v -> startWatch(new WatchState(prefix, fromRevision, events, ended)));
    }

    /** Number of calls sent so far, reported in the state dump. */
    public long callCount() {
        return callCount;
    }

    /** True while the connection is established. */
    public boolean connected() {
        return socket != null;
    }

    @Override
    public void close() {
        context.runOnContext(v -> {
            closed = true;
            failPending("client closed");
            net.close();
        });
    }

    private Future<KvMessage.Reply> call(LongFunction<KvMessage.Call> messageFactory) {
        Promise<KvMessage.Reply> promise = Promise.promise();
        context.runOnContext(v -> send(messageFactory.apply(nextCallId++), promise));
        return promise.future().compose(this::checkStatus);
    }

    private void send(KvMessage.Call call, Promise<KvMessage.Reply> promise) {
        if (socket == null) {
            promise.fail(KvException.unavailable("not connected to key-value service " + host + ":" + port));
            return;
        }
        callCount++;
        pending.put(call.callId(), promise);
        long timer = vertx.setTimer(callTimeoutMs, t -> callTimedOut(call.callId()));
        promise.future().onComplete(r -> vertx.cancelTimer(timer));
        socket.write(FrameReader.frame(KvCodec.encode(call)));
    }

    /** Fails a call that got no reply; closes the connection after several consecutive timeouts. */
    private void callTimedOut(long callId) {
        Promise<KvMessage.Reply> p = pending.remove(callId);
        if (p == null) {
            return;
        }
        p.fail(KvException.unavailable("no reply within " + callTimeoutMs + " ms"));
        consecutiveTimeouts++;
        if (consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS && socket != null) {
            LOG.warnf("kv connection unresponsive host=%s port=%d, reconnecting", host, port);
            consecutiveTimeouts = 0;
            socket.close();
        }
    }

    private Future<KvMessage.Reply> checkStatus(KvMessage.Reply reply) {
        if (reply.status() == KvStatus.OK) {
            return Future.succeededFuture(reply);
        }
        KvEntry current = reply.entries().isEmpty() ? null : reply.entries().get(0);
        String key = current == null ? "call " + reply.callId() : current.key();
        return Future.failedFuture(KvException.of(reply.status(), key, current));
    }

    private void openConnection() {
        if (closed) {
            return;
        }
        net.connect(port, host).onSuccess(this::connectionOpened).onFailure(e -> scheduleReconnect());
    }

    private void connectionOpened(NetSocket s) {
        socket = s;
        backoffMs = INITIAL_BACKOFF_MS;
        s.handler(FrameReader.create(this::handleFrame, this::rejectFrame));
        s.closeHandler(v -> connectionLost());
        List<WatchState> activeWatches = List.copyOf(watches.values());
        watches.clear();
        activeWatches.forEach(this::startWatch);
        LOG.debugf("kv connected host=%s port=%d", host, port);
    }

    private void connectionLost() {
        socket = null;
        failPending("connection to key-value service lost");
        scheduleReconnect();
    }

    private void scheduleReconnect() {
        if (!closed) {
            vertx.setTimer(backoffMs, t -> openConnection());
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
    }

    private void failPending(String reason) {
        List<Promise<KvMessage.Reply>> all = List.copyOf(pending.values());
        pending.clear();
        all.forEach(p -> p.tryFail(KvException.unavailable(reason)));
    }

    /** Starts a watch under a new id; replies and events for an earlier id of the watch are ignored. */
    private void startWatch(WatchState w) {
        long id = nextCallId++;
        watches.put(id, w);
        Promise<KvMessage.Reply> promise = Promise.promise();
        promise.future().onSuccess(r -> watchReplied(id, r.status())).onFailure(e -> retryWatch(id));
        send(new KvMessage.Watch(id, w.prefix, w.lastRevision), promise);
    }

    private void watchReplied(long id, KvStatus status) {
        switch (status) {
            case OK -> LOG.debugf("kv watch established id=%d", id);
            case COMPACTED -> {
                WatchState w = watches.remove(id);
                if (w != null) {
                    w.ended.run();
                }
            }
            default -> retryWatch(id);
        }
    }

    /** Retries a failed watch after a delay, unless a reconnect has replaced it in the meantime. */
    private void retryWatch(long id) {
        if (socket != null) {
            vertx.setTimer(WATCH_RETRY_MS, t -> {
                WatchState w = watches.remove(id);
                if (w != null) {
                    startWatch(w);
                }
            });
        }
    }

    private void handleFrame(Buffer body) {
        KvMessage m;
        try {
            m = KvCodec.decode(body.getBytes());
        } catch (WireException e) {
            rejectFrame(e);
            return;
        }
        switch (m) {
            case KvMessage.Reply r -> handleReply(r);
            case KvMessage.Event e -> handleEvent(e);
            case KvMessage.Call c -> rejectFrame(new WireException("unexpected call from the key-value service: " + c));
        }
    }

    private void handleReply(KvMessage.Reply r) {
        consecutiveTimeouts = 0;
        Promise<KvMessage.Reply> p = pending.remove(r.callId());
        if (p != null) {
            p.tryComplete(r);
        }
    }

    private void handleEvent(KvMessage.Event e) {
        WatchState w = watches.get(e.watchId());
        if (w != null && e.revision() > w.lastRevision) {
            w.lastRevision = e.revision();
            deliver(w, e);
        }
    }

    private void deliver(WatchState w, KvMessage.Event e) {
        try {
            w.events.handle(e);
        } catch (RuntimeException | Error failure) {
            LOG.errorf("kv watch ended prefix=%s revision=%d error=%s", w.prefix, e.revision(), failure);
            watches.remove(e.watchId());
            w.ended.run();
        }
    }

    private void rejectFrame(WireException e) {
        LOG.warnf("kv frame rejected host=%s port=%d error=%s", host, port, e.getMessage());
        if (socket != null) {
            socket.close();
        }
    }

    private static final class WatchState {
        private final String prefix;
        private final Handler<KvMessage.Event> events;
        private final Runnable ended;
        private long lastRevision;

        private WatchState(String prefix, long fromRevision, Handler<KvMessage.Event> events, Runnable ended) {
            this.ended = ended;
            this.prefix = prefix;
            this.lastRevision = fromRevision;
            this.events = events;
        }
    }
}
