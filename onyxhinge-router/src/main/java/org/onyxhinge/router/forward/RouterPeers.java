package org.onyxhinge.router.forward;

import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * What routers tell each other: their calls on each target and the units each workspace has used. Each
 * router connects to every other one and sends what has changed since its last message, and at least a
 * sign of life. What a router that falls silent had running is forgotten; its part of the quotas is not.
 */
final class RouterPeers {

    private static final Logger LOG = Logger.getLogger(RouterPeers.class);

    /** While places are free routers seldom take the same one, and little need be said. */
    private static final long SEND_MS = 60;

    /**
     * While calls wait each place that falls free is wanted by several routers. On the simulated fleet's heaviest
     * pattern 20 ms instead of 60 puts 1 % more of the worth on time; 10 ms brings no more.
     */
    private static final long SEND_BUSY_MS = 20;

    /**
     * Bounds what a router sends to about 80 messages a second, and to 250 while calls wait: what six routers send
     * each other at the intervals above. Each message costs both ends a system call and a wake-up.
     */
    private static final long MS_PER_LINK = 12;

    private static final long BUSY_MS_PER_LINK = 4;

    private static final long SIGN_OF_LIFE_MS = 400;
    /** Three signs of life missed, and one on its way. */
    private static final long SILENT_MS = 1_500;

    private static final int CONNECT_TIMEOUT_MS = 500;
    /** A router that is starting refuses connections for a few hundred ms; quotas are in full use once it is heard. */
    private static final long DIAL_AGAIN_MS = 120;
    /**
     * A router whose registration lapsed may still be serving where nothing stops it; its part of the quotas is
     * kept so long.
     */
    private static final long KEEP_VANISHED_MS = 10_000;

    /**
     * Where keys must be proved fresh it has stopped before its registration could lapse, but all registrations may
     * have lapsed while the store was away: those that live are registered again within two renewals, 1.3 s each.
     */
    private static final long REGISTERS_AGAIN_MS = 3_000;

    /** For so long after its VM refused a connection, a router's process is known not to run. */
    private static final long REFUSED_MS = 1_500;

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final long life = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    private final Side side;
    private final NetClient client;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Heard> heard = new HashMap<>();
    private final Map<String, Long> vanishedAtMs = new HashMap<>();
    private long beatDueMs;
    private long beatTimer = -1;

    /** The router on whose behalf they are spoken to. */
    interface Side {

        /** Its calls on each target. */
        Map<String, TargetUse> uses();

        /** Units each workspace has used here since the start. */
        Map<String, Long> totals();

        /** Units all routers let through in the quota window, where that is known. */
        Map<String, Long> windows();

        /** How many calls wait here, by service and rank. */
        Map<String, Map<Integer, Integer>> waiting();

        /** Hears a router's whole current use. */
        void usageHeard(String routerId, PeerMessage.Usage usage);

        /** Hears that a router leaves a place at a target to this one. */
        void placeOffered(String targetId);
    }

    /** Our sending side towards one router. */
    private static final class Link {
        private final HostPort address;
        private PeerConnection connection;
        private long connectedAtMs;
        private boolean dialling;
        private long dialAfterMs;
        private long refusedAtMs = -REFUSED_MS;
        private boolean whole = true;
        private long sentAtMs;
        private Map<String, TargetUse> sentUses = Map.of();
        private Map<String, Long> sentTotals = Map.of();
        private Map<String, Map<Integer, Integer>> sentWaiting = Map.of();

        Link(HostPort address) {
            this.address = address;
        }
    }

    /** What one router last said. */
    private static final class Heard {
        private long life;
        private long atMs;
        private final Map<String, TargetUse> uses = new HashMap<>();
    }

    private RouterPeers(Vertx vertx, ForwardingSettings settings, Side side) {
        this.vertx = vertx;
        this.settings = settings;
        this.side = side;
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
    }

    /** Listens for other routers. */
    static Future<RouterPeers> start(Vertx vertx, ForwardingSettings settings, Side side) {
        RouterPeers peers = new RouterPeers(vertx, settings, side);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                .connectHandler(socket -> PeerConnection.attach(socket, peers.traffic, peers::received, () -> {}))
                .listen(settings.peerPort(), settings.peerHost())
                .map(server -> {
                    peers.scheduleBeat(SEND_MS);
                    return peers;
                });
    }

    /** Takes in a router that is registered at {@code addressText}, HOST:PORT. */
    void registered(String routerId, String addressText) {
        vanishedAtMs.remove(routerId);
        HostPort address;
        try {
            address = HostPort.parse("address", addressText);
        } catch (IllegalArgumentException e) {
            LOG.errorf("router rejected router=%s error=%s", routerId, e.getMessage());
            return;
        }
        Link known = links.get(routerId);
        if (routerId.equals(settings.routerId()) || known != null && known.address.equals(address)) {
            return;
        }
        if (known != null && known.connection != null) {
            known.connection.close();
        }
        LOG.infof("router joined router=%s address=%s", routerId, address);
        links.put(routerId, new Link(address));
    }

    /** Notes that a router is no longer registered. */
    void unregistered(String routerId) {
        if (links.containsKey(routerId)) {
            vanishedAtMs.put(routerId, MonotonicClock.nowMs());
        }
    }

    /** Routers there should be, this one included. */
    int known() {
        long nowMs = MonotonicClock.nowMs();
        int n = 1;
        for (Link link : links.values()) {
            n += isDown(link, nowMs) ? 0 : 1;
        }
        return n;
    }

    private static boolean isDown(Link link, long nowMs) {
        return link.connection == null && nowMs - link.refusedAtMs < REFUSED_MS;
    }

    /** The part of the routers there should be that are heard, this one counted in both. */
    double heardPart() {
        long nowMs = MonotonicClock.nowMs();
        int n = 1;
        for (Map.Entry<String, Link> e : links.entrySet()) {
            n += !isDown(e.getValue(), nowMs) && isHeard(heard.get(e.getKey()), nowMs) ? 1 : 0;
        }
        return (double) n / known();
    }

    /** Whether this router's id comes first among those that hear each other. */
    boolean comesFirst() {
        long nowMs = MonotonicClock.nowMs();
        return heard.entrySet().stream()
                .noneMatch(e -> isHeard(e.getValue(), nowMs) && e.getKey().compareTo(settings.routerId()) < 0);
    }

    private static boolean isHeard(Heard h, long nowMs) {
        return h != null && nowMs - h.atMs < SILENT_MS;
    }

    private void received(PeerMessage message) {
        switch (message) {
            case PeerMessage.Usage usage -> usageReceived(usage);
            case PeerMessage.PlaceLeft left -> side.placeOffered(left.targetId());
            default ->
                LOG.warnf(
                        "unexpected message between routers type=%s",
                        message.getClass().getSimpleName());
        }
    }

    private void usageReceived(PeerMessage.Usage usage) {
        Heard h = heard.computeIfAbsent(usage.routerId(), id -> new Heard());
        if (usage.whole() || h.life != usage.life()) {
            h.uses.clear();
        }
        h.life = usage.life();
        h.atMs = MonotonicClock.nowMs();
        Link back = links.get(usage.routerId());
        if (back != null) {
            // It runs: no need to wait before it is dialled.
            back.dialAfterMs = 0;
        }
        if (usage.whole()) {
            renew(back, h.atMs);
        }
        usage.uses().forEach((id, use) -> {
            if (use.calls() == 0) {
                h.uses.remove(id);
            } else {
                h.uses.put(id, use);
            }
        });
        side.usageHeard(
                usage.routerId(),
                new PeerMessage.Usage(
                        usage.routerId(),
                        usage.life(),
                        true,
                        h.uses,
                        usage.totals(),
                        usage.windows(),
                        usage.waiting()));
    }

    /** Notes that a call waits: peers that have room are told of it sooner than usual. */
    void callsWait() {
        long inMs = intervalMs(SEND_BUSY_MS, BUSY_MS_PER_LINK);
        if (beatDueMs - MonotonicClock.nowMs() > inMs) {
            vertx.cancelTimer(beatTimer);
            scheduleBeat(inMs);
        }
    }

    /** A larger fleet speaks less often: each router's own calls, and so what it has to tell, are fewer there. */
    private long intervalMs(long leastMs, long msPerLink) {
        return Math.max(leastMs, links.size() * msPerLink);
    }

    private void scheduleBeat(long inMs) {
        beatDueMs = MonotonicClock.nowMs() + inMs;
        beatTimer = vertx.setTimer(inMs, t -> {
            boolean busy = !side.waiting().isEmpty();
            scheduleBeat(busy ? intervalMs(SEND_BUSY_MS, BUSY_MS_PER_LINK) : intervalMs(SEND_MS, MS_PER_LINK));
            beat();
        });
    }

    private void beat() {
        long nowMs = MonotonicClock.nowMs();
        forgetSilent(nowMs);
        dropVanished(nowMs);
        if (links.isEmpty()) {
            return;
        }
        Map<String, Map<Integer, Integer>> waitingNow = side.waiting();
        Map<String, TargetUse> usesNow = side.uses();
        Map<String, Long> totalsNow = side.totals();
        for (Map.Entry<String, Link> e : links.entrySet()) {
            Link link = e.getValue();
            if (!isHeard(heard.get(e.getKey()), nowMs)) {
                renew(link, nowMs);
            }
            if (link.connection == null) {
                dial(e.getKey(), link, nowMs);
            } else {
                send(link, usesNow, totalsNow, waitingNow, nowMs);
            }
        }
    }

    /**
     * Makes the connection to a router anew. A connection can go silent without a reset: the side that
     * hears nothing makes its own anew, and the other side, seeing that, does the same.
     */
    private static void renew(Link link, long nowMs) {
        if (link != null && link.connection != null && nowMs - link.connectedAtMs > SILENT_MS) {
            PeerConnection old = link.connection;
            link.connection = null;
            old.close();
        }
    }

    private void forgetSilent(long nowMs) {
        heard.forEach((id, h) -> {
            if (!isHeard(h, nowMs) && !h.uses.isEmpty()) {
                LOG.infof("router silent router=%s silentMs=%d", id, nowMs - h.atMs);
                h.uses.clear();
                side.usageHeard(id, new PeerMessage.Usage(id, h.life, true, Map.of(), Map.of(), Map.of(), Map.of()));
            }
        });
    }

    /** A router that is still heard has not left, whatever the registry says. */
    private void dropVanished(long nowMs) {
        long keepMs = settings.keyProofMs() > 0 ? REGISTERS_AGAIN_MS : KEEP_VANISHED_MS;
        vanishedAtMs.entrySet().removeIf(e -> {
            boolean drop = nowMs - e.getValue() > keepMs && !isHeard(heard.get(e.getKey()), nowMs);
            if (drop) {
                LOG.infof("router left router=%s", e.getKey());
                Link link = links.remove(e.getKey());
                if (link != null && link.connection != null) {
                    link.connection.close();
                }
            }
            return drop;
        });
    }

    private void dial(String routerId, Link link, long nowMs) {
        if (link.dialling || nowMs < link.dialAfterMs) {
            return;
        }
        link.dialling = true;
        client.connect(link.address.port(), link.address.host())
                .onSuccess(socket -> {
                    link.dialling = false;
                    link.whole = true;
                    long connectedAtMs = MonotonicClock.nowMs();
                    link.connectedAtMs = connectedAtMs;
                    link.connection = PeerConnection.attach(socket, traffic, this::received, () -> {
                        LOG.infof("router link lost router=%s", routerId);
                        if (link.connectedAtMs == connectedAtMs) {
                            link.connection = null;
                        }
                    });
                })
                .onFailure(e -> {
                    long failedAtMs = MonotonicClock.nowMs();
                    if (e instanceof ConnectException && !(e instanceof ConnectTimeoutException)) {
                        link.refusedAtMs = failedAtMs;
                    }
                    LOG.debugf("router not reached router=%s error=%s", routerId, e.getMessage());
                    link.dialling = false;
                    link.dialAfterMs = failedAtMs + DIAL_AGAIN_MS;
                });
    }

    private void send(
            Link link,
            Map<String, TargetUse> usesNow,
            Map<String, Long> totalsNow,
            Map<String, Map<Integer, Integer>> waitingNow,
            long nowMs) {
        Map<String, TargetUse> changedUses = link.whole ? usesNow : changed(link.sentUses, usesNow);
        Map<String, Long> changedTotals = new HashMap<>(totalsNow);
        if (!link.whole) {
            changedTotals.entrySet().removeIf(e -> e.getValue().equals(link.sentTotals.get(e.getKey())));
        }
        boolean quiet = changedUses.isEmpty() && changedTotals.isEmpty() && waitingNow.equals(link.sentWaiting);
        if (quiet && !link.whole && nowMs - link.sentAtMs < SIGN_OF_LIFE_MS) {
            return;
        }
        boolean sent = link.connection.send(new PeerMessage.Usage(
                settings.routerId(),
                life,
                link.whole,
                changedUses,
                changedTotals,
                link.whole ? side.windows() : Map.of(),
                waitingNow));
        if (sent) {
            link.sentUses = usesNow;
            link.sentTotals = totalsNow;
            link.sentWaiting = waitingNow;
            link.sentAtMs = nowMs;
        }
        // After a message that was dropped, what the other side has is not known.
        link.whole = !sent;
    }

    /** Tells a router that a place at a target is left to it. */
    void leavePlace(String routerId, String targetId) {
        Link link = links.get(routerId);
        if (link != null && link.connection != null) {
            link.connection.send(new PeerMessage.PlaceLeft(targetId));
        }
    }

    private static Map<String, TargetUse> changed(Map<String, TargetUse> before, Map<String, TargetUse> now) {
        Map<String, TargetUse> out = new HashMap<>(now);
        out.entrySet().removeIf(e -> e.getValue().equals(before.get(e.getKey())));
        Set<String> cleared = new HashSet<>(before.keySet());
        cleared.removeAll(now.keySet());
        cleared.forEach(id -> out.put(id, new TargetUse(0, 0)));
        return out;
    }
}
