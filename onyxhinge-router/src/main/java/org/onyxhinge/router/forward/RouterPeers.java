package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.SlotRequest;
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

    private static final int CONNECT_TIMEOUT_MS = 500;

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

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final long life = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    private final Side side;
    private final NetClient client;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final HeardRouters heard = new HeardRouters();
    private final Map<String, Long> vanishedAtMs = new HashMap<>();
    private long beatDueMs;
    private long beatTimer = -1;

    /** The router on whose behalf they are spoken to. */
    interface Side {

        /** What each other router, by its id, is to be told of this one's calls now. */
        Function<String, PeerUpdate> news();

        /** Routers that are to be told at once what this one does. */
        int nearRouters();

        /** Whether calls wait here. */
        boolean callsWait();

        /** What to ask a router of another group now. */
        Optional<SlotRequest> slotsToBorrow();

        /** Units each workspace has used here since the start. */
        Map<String, Long> totals();

        /** Units all routers let through in the quota window, where that is known. */
        Map<String, Long> windows();

        /** Hears a router's whole current use. */
        void usageHeard(String routerId, PeerMessage.Usage usage);

        /** Hears that a router has fallen silent: what it had running is forgotten, its part of the quotas is not. */
        void routerSilent(String routerId);

        /** Hears that a router is registered. */
        void routerJoined(String routerId, String dataCentre);

        /** Hears that a router has left. */
        void routerLeft(String routerId);

        /** Hears that a router reserves a slot at a target for this one. */
        void slotReserved(String targetId);

        /** Hears that a router of another group has calls that wait. */
        void slotsWanted(PeerMessage.SlotsWanted wanted);

        /** What all routers are to know, for one that may know of none of it. */
        List<PeerMessage.BetweenRouters> knownToAll();

        /** Hears of targets that ended while they ran requests. */
        void crashesHeard(PeerMessage.Crashes crashes);

        /** Hears that a request is no suspect. */
        void answeredWhole(PeerMessage.AnsweredWhole answered);

        /** Hears of targets' rate limits. */
        void limitsHeard(PeerMessage.TargetLimits limits);
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
                    peers.scheduleBeat(PeerUpdateSchedule.intervalMs(0, false));
                    return peers;
                });
    }

    /** Takes in a router that is registered at {@code addressText}, HOST:PORT, in a data centre ("" for unknown). */
    void registered(String routerId, String addressText, String dataCentre) {
        vanishedAtMs.remove(routerId);
        HostPort address;
        try {
            address = HostPort.parse("address", addressText);
        } catch (IllegalArgumentException e) {
            LOG.errorf("router rejected router=%s error=%s", routerId, e.getMessage());
            return;
        }
        if (routerId.equals(settings.routerId())) {
            return;
        }
        side.routerJoined(routerId, dataCentre);
        PeerLink known = links.get(routerId);
        if (known != null && known.address().equals(address)) {
            return;
        }
        if (known != null) {
            known.close();
        }
        LOG.infof("router joined router=%s address=%s", routerId, address);
        links.put(routerId, new PeerLink(routerId, address, () -> heard.forget(routerId, side::routerSilent)));
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
        return 1 + (int) links.values().stream().filter(l -> !l.isDown(nowMs)).count();
    }

    /** The part of the routers there should be that are heard, this one counted in both. */
    double heardPart() {
        long nowMs = MonotonicClock.nowMs();
        int n = 1;
        for (Map.Entry<String, PeerLink> e : links.entrySet()) {
            n += !e.getValue().isDown(nowMs) && heard.speaks(e.getKey(), nowMs) ? 1 : 0;
        }
        return (double) n / known();
    }

    /** Whether this router's id comes first among those that hear each other. */
    boolean comesFirst() {
        return heard.noneBefore(settings.routerId(), MonotonicClock.nowMs());
    }

    private void received(PeerMessage message) {
        switch (message) {
            case PeerMessage.Usage usage -> usageReceived(usage);
            case PeerMessage.SlotReserved r -> side.slotReserved(r.targetId());
            case PeerMessage.SlotsWanted w -> side.slotsWanted(w);
            case PeerMessage.Crashes c -> side.crashesHeard(c);
            case PeerMessage.AnsweredWhole a -> side.answeredWhole(a);
            case PeerMessage.TargetLimits l -> side.limitsHeard(l);
            default ->
                LOG.warnf(
                        "unexpected message between routers type=%s",
                        message.getClass().getSimpleName());
        }
    }

    private void usageReceived(PeerMessage.Usage usage) {
        long nowMs = MonotonicClock.nowMs();
        PeerMessage.Usage now = heard.received(usage, nowMs);
        PeerLink back = links.get(usage.routerId());
        if (back != null) {
            back.itRuns();
            if (usage.whole()) {
                back.renew(nowMs);
            }
        }
        side.usageHeard(usage.routerId(), now);
    }

    /** Notes that a call waits: peers that have room are told of it sooner than usual. */
    void callsWait() {
        long inMs = PeerUpdateSchedule.intervalMs(side.nearRouters(), true);
        if (beatDueMs - MonotonicClock.nowMs() > inMs) {
            vertx.cancelTimer(beatTimer);
            scheduleBeat(inMs);
        }
    }

    private void scheduleBeat(long inMs) {
        beatDueMs = MonotonicClock.nowMs() + inMs;
        beatTimer = vertx.setTimer(inMs, t -> {
            scheduleBeat(PeerUpdateSchedule.intervalMs(side.nearRouters(), side.callsWait()));
            beat();
        });
    }

    private void beat() {
        long nowMs = MonotonicClock.nowMs();
        heard.forgetSilent(nowMs, side::routerSilent);
        dropVanished(nowMs);
        if (links.isEmpty()) {
            return;
        }
        Function<String, PeerUpdate> news = side.news();
        Map<String, Long> totals = side.totals();
        links.forEach((id, link) -> {
            if (!heard.speaks(id, nowMs)) {
                link.renew(nowMs);
            }
            if (link.connected()) {
                if (link.startsAnew()) {
                    side.knownToAll().forEach(link::sendNow);
                }
                link.send(settings.routerId(), life, new PeerLink.State(news.apply(id), totals), side::windows, nowMs);
            } else {
                link.dial(client, traffic, this::received, nowMs);
            }
        });
        side.slotsToBorrow()
                .ifPresent(r -> sendNow(
                        r.router(), new PeerMessage.SlotsWanted(settings.routerId(), r.service(), r.waiting())));
    }

    /** Tells every router something at once. */
    void tellAll(PeerMessage.BetweenRouters message) {
        links.values().forEach(l -> l.tell(message));
    }

    private void sendNow(String routerId, PeerMessage message) {
        Optional.ofNullable(links.get(routerId)).ifPresent(l -> l.sendNow(message));
    }

    /** A router that is still heard has not left, whatever the registry says. */
    private void dropVanished(long nowMs) {
        long keepMs = settings.keyProofMs() > 0 ? REGISTERS_AGAIN_MS : KEEP_VANISHED_MS;
        vanishedAtMs.entrySet().removeIf(e -> {
            boolean drop = nowMs - e.getValue() > keepMs && !heard.speaks(e.getKey(), nowMs);
            if (drop) {
                LOG.infof("router left router=%s", e.getKey());
                Optional.ofNullable(links.remove(e.getKey())).ifPresent(PeerLink::close);
                side.routerLeft(e.getKey());
            }
            return drop;
        });
    }

    /** Tells a router that a slot at a target is reserved for it. */
    void slotReserved(String routerId, String targetId) {
        sendNow(routerId, new PeerMessage.SlotReserved(targetId));
    }
}
