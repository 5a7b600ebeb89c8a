package org.onyxhinge.router.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Pool of connections to targets: each new connection costs the target a handshake and may occupy one of its slots. The
 * most recently used connection is reused first, so that the others become idle and are closed.
 *
 * <p>Routers divide only the idle connections of a target between them. Those in use follow the calls, which the slots
 * of the target bound, at whichever routers they are.
 */
public final class TargetConnections {

    /** A round trip within a region takes a few ms; one lost packet costs about 200 ms. */
    private static final int CONNECT_TIMEOUT_MS = 600;

    private static final int MAX_RESPONSE_HEADER_BYTES = 32_768;
    private static final int MS_PER_SECOND = 1_000;
    /** Safety margin before the target's own idle timeout, so that a call does not cross the target's close. */
    private static final long IDLE_MARGIN_MS = 400;
    /** Used if the target reports no timeout. Kept below one second. */
    private static final long DEFAULT_IDLE_MS = 500;

    private final HttpClientAgent client;
    private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();
    private final Map<String, Integer> open = new HashMap<>();
    private final SurplusResponses surplus = new SurplusResponses();
    private final Runnable onSurplus;
    private final boolean smallReads;
    private long opened;

    private TargetConnections(HttpClientAgent client, Runnable onSurplus, boolean smallReads) {
        this.client = client;
        this.onSurplus = onSurplus;
        this.smallReads = smallReads;
    }

    /**
     * Creates a pool without connections.
     *
     * @param onSurplus called whenever a target has sent what belongs to no call, or may not
     * @param smallReads whether connections are read in small parts, since what is read of a stream stays in memory
     *     while its caller does not take it
     */
    public static TargetConnections create(Vertx vertx, Runnable onSurplus, boolean smallReads) {
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setTcpNoDelay(true)
                .setKeepAlive(true)
                .setMaxHeaderSize(MAX_RESPONSE_HEADER_BYTES)
                .setDecompressionSupported(false);
        return new TargetConnections(vertx.createHttpClient(options), onSurplus, smallReads);
    }

    /**
     * Returns an idle or new connection. Fails if none can be made or if this router already has one for each slot of
     * the target and {@code maxIdle} more; no byte of a call has been sent in that case.
     *
     * @param maxIdle number of idle connections to the target that this router may keep
     * @param requestId the call's id; a connection that has carried it lately is not used again for it
     * @param bodiless whether the response has no body whatever its headers say; it gets a new connection
     */
    public Future<TargetConnection> acquire(Target target, int maxIdle, String requestId, boolean bodiless) {
        String incarnation = target.incarnation();
        Deque<TargetConnection> free = idle.get(incarnation);
        long nowMs = MonotonicClock.nowMs();
        while (!bodiless && free != null && !free.isEmpty()) {
            TargetConnection c = free.pollFirst();
            if (c.usable(nowMs) && c.admits(requestId, nowMs)) {
                return Future.succeededFuture(c);
            }
            c.close();
        }
        int maxOpen = target.slots() + maxIdle;
        if (open.getOrDefault(incarnation, 0) >= maxOpen) {
            return Future.failedFuture("connection limit reached: " + maxOpen + " connections to " + target.id());
        }
        return connect(target, maxIdle);
    }

    /** Tests whether a process listens at a target's address; fails if no connection can be made. */
    public Future<Void> probe(Target target) {
        return connect(target, 1).map(c -> {
            release(c, null);
            return null;
        });
    }

    private Future<TargetConnection> connect(Target target, int maxIdle) {
        String incarnation = target.incarnation();
        open.merge(incarnation, 1, Integer::sum);
        long number = ++opened;
        return client.connect(new HttpConnectOptions().setHost(target.host()).setPort(target.port()))
                .onFailure(e -> closed(incarnation))
                .map(http -> attach(number, http, incarnation, maxIdle));
    }

    private TargetConnection attach(long number, HttpClientConnection http, String incarnation, int maxIdle) {
        if (smallReads) {
            ConnectionPipeline.readInSmallParts(http);
        }
        TargetConnection c = new TargetConnection(
                number,
                http,
                incarnation,
                maxIdle,
                (what, identified) -> surplusReceived(incarnation, number, what, identified));
        http.closeHandler(v -> {
            closed(incarnation);
            c.markClosed();
            Deque<TargetConnection> free = idle.get(incarnation);
            if (free != null) {
                free.remove(c);
            }
        });
        return c;
    }

    private void surplusReceived(String incarnation, long connection, String what, boolean identified) {
        onSurplus.run();
        boolean known = surplus.isSingleUse(incarnation);
        surplus.received(incarnation, connection, what, identified, MonotonicClock.nowMs());
        if (!known && surplus.isSingleUse(incarnation)) {
            Deque<TargetConnection> free = idle.remove(incarnation);
            if (free != null) {
                free.forEach(TargetConnection::close);
            }
        }
    }

    private void closed(String incarnation) {
        open.computeIfPresent(incarnation, (id, n) -> n <= 1 ? null : n - 1);
    }

    /**
     * Returns a connection to the pool after its call and response are both complete; closes it if enough are idle, or
     * if a response on it could belong to an earlier call.
     *
     * @param keepAlive the {@code Keep-Alive} header of the response, or null
     */
    public void release(TargetConnection c, String keepAlive) {
        Deque<TargetConnection> free = idle.computeIfAbsent(c.incarnation(), id -> new ArrayDeque<>());
        boolean singleUse = c.calls() > 0 && surplus.isSingleUse(c.incarnation());
        if (!c.isReusable() || singleUse || free.size() >= c.maxIdle()) {
            c.close();
            return;
        }
        c.idleUntil(MonotonicClock.nowMs() + idleMs(keepAlive));
        free.addFirst(c);
    }

    /** How long a connection may be reused, according to the {@code timeout} of RFC 2068, section 19.7.1. */
    static long idleMs(String keepAlive) {
        if (keepAlive != null) {
            for (String part : keepAlive.split(",")) {
                String[] pair = part.trim().split("=", 2);
                if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout")) {
                    return parseSeconds(pair[1].trim());
                }
            }
        }
        return DEFAULT_IDLE_MS;
    }

    private static long parseSeconds(String text) {
        try {
            return Math.max(0, Long.parseLong(text) * MS_PER_SECOND - IDLE_MARGIN_MS);
        } catch (NumberFormatException e) {
            return DEFAULT_IDLE_MS;
        }
    }

    /** Closes idle connections that have expired or lead to targets that no longer exist. */
    public void sweep(Predicate<String> targetKnown) {
        long nowMs = MonotonicClock.nowMs();
        List<TargetConnection> stale = new ArrayList<>();
        idle.forEach((id, free) -> free.removeIf(c -> {
            boolean unusable = !c.usable(nowMs) || !targetKnown.test(id);
            if (unusable) {
                stale.add(c);
            }
            return unusable;
        }));
        idle.values().removeIf(Deque::isEmpty);
        stale.forEach(TargetConnection::close);
        surplus.sweep(nowMs);
    }

    /** Connections made since the start. */
    public long opened() {
        return opened;
    }

    /** The targets that have lately sent what belongs to no call, and whether their connections carry one call only. */
    public Map<String, Boolean> surplusTargets() {
        return surplus.targets();
    }

    /** Connections open now. */
    public int openCount() {
        return open.values().stream().mapToInt(Integer::intValue).sum();
    }
}
