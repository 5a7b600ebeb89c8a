package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.RendezvousOrder;
import org.onyxhinge.core.place.SlotRequest;
import org.onyxhinge.core.text.LogText;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerAcceptor;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * State exchange between routers: their calls on each target and the units used by each workspace. Each router connects
 * to every other one and sends the changes since its last message, or at least a heartbeat. When a router becomes
 * silent its calls are forgotten, but its share of the quotas is not.
 */
final class RouterPeers {

    private static final Logger LOG = Logger.getLogger(RouterPeers.class);

    private static final int CONNECT_TIMEOUT_MS = 500;

    /**
     * A router whose registration lapsed may still be serving if nothing stops it; its share of the quotas is kept this
     * long.
     */
    private static final long DEPARTED_RETENTION_MS = 10_000;

    /**
     * If API keys must be confirmed, a router stops serving before its registration can lapse. But all registrations
     * may have lapsed while the store was unavailable; live routers register again within two renewals of 1.3 s each.
     */
    private static final long REREGISTRATION_MS = 3_000;

    /** Routers that start together have registered, and read of each other, by then. */
    private static final long ALL_KNOWN_MS = 2_000;

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final long startedAtMs = MonotonicClock.nowMs();
    private final long startId = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    private final Delegate delegate;
    private final ReadBarrier reads;
    private final NetClient client;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final PeerUsageTracker usageTracker = new PeerUsageTracker();
    private final Map<String, Long> unregisteredAtMs = new HashMap<>();
    private long nextSendAtMs;
    private long sendTimerId = -1;

    /** The router that takes part in the exchange. */
    interface Delegate {

        /** The current state of this router's calls, by the id of the router it is sent to. */
        Function<String, PeerUpdate> news();

        /** Number of routers that are notified of changes at once. */
        int nearRouters();

        /** Whether calls are waiting here. */
        boolean callsWait();

        /** The slot requests to send now to routers of other groups. */
        List<SlotRequest> slotsToBorrow();

        /** Units that each workspace has used here since the start. */
        Map<String, Long> totals();

        /** Units that all routers let through in the quota window, where known. */
        Map<String, Long> windows();

        /** Called with a router's complete current usage. */
        void onUsage(String routerId, PeerMessage.Usage usage);

        /** Called when a router has become silent: its calls are forgotten, its share of the quotas is not. */
        void onRouterSilent(String routerId);

        /** Called when a router is registered. */
        void onRouterJoined(String routerId, String dataCentre);

        /** Called when a router has left. */
        void onRouterLeft(String routerId);

        /** Called when another router reserves a slot at a target for this one. */
        void onSlotReserved(String targetId);

        /** Called when a router of another group has waiting calls. */
        void onSlotsWanted(PeerMessage.SlotDemand wanted);

        /** Everything that all routers should know, for a router that may know none of it. */
        List<PeerMessage.RouterToRouter> broadcastState();

        /** Called when links have come up, after the state of the calls was sent. */
        void onLinksUp();

        /** Called with targets that ended while they executed requests. */
        void onCrashes(PeerMessage.Crashes crashes);

        /** Called when a request no longer counts as a suspect. */
        void onAnswered(PeerMessage.SuspectCompleted answered);

        /** Called with requests that another router of the data centre has refused. */
        void onRefusedRequests(PeerMessage.RefusedRequests refused);

        /** Called with what began a stream at another router. */
        void onStreamOrigin(PeerMessage.StreamOriginCopy copy);

        /** Called when another router asks what began a stream. */
        void onStreamOriginQuery(PeerMessage.StreamOriginQuery query);

        /** Called with the reply to a query of this router. */
        void onStreamOriginReply(PeerMessage.StreamOriginReply reply);

        /** Called when another router asks what this one has read from the store. */
        void onStoreQuery(PeerMessage.StoreQuery query);

        /** Called with the reply to a query of this router. */
        void onStoreReply(PeerMessage.StoreReply reply);

        /** Called with targets' rate limits. */
        void onTargetLimits(PeerMessage.TargetLimits limits);

        /** Called with the phase of a rollout. */
        void onRolloutUpdate(PeerMessage.RolloutUpdate update);

        /** Called with what another router has counted during a rollout. */
        void onRolloutReport(PeerMessage.RolloutReport report);
    }

    private RouterPeers(Vertx vertx, ForwardingSettings settings, Delegate delegate) {
        this.vertx = vertx;
        this.reads = ReadBarrier.of(vertx.getOrCreateContext());
        this.settings = settings;
        this.delegate = delegate;
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
    }

    /** Starts listening for other routers. Called on the context that the exchange belongs to. */
    static Future<RouterPeers> start(Vertx vertx, ForwardingSettings settings, Delegate delegate) {
        RouterPeers peers = new RouterPeers(vertx, settings, delegate);
        PeerAcceptor acceptor = PeerAcceptor.create(vertx);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                .connectHandler(socket -> acceptor.accept(socket, peers.traffic, peers::received, () -> {}))
                .listen(settings.peerPort(), settings.peerHost())
                .map(server -> {
                    peers.scheduleSend(PeerUpdateSchedule.intervalMs(0, false));
                    return peers;
                });
    }

    /** Adds a registered router. Its address {@code addressText} is HOST:PORT, its data centre "" if unknown. */
    void registered(String routerId, String addressText, String dataCentre) {
        unregisteredAtMs.remove(routerId);
        if (routerId.equals(settings.routerId())) {
            return;
        }
        HostPort address;
        try {
            address = HostPort.parse("address", addressText);
            checkRegistration(routerId, address);
        } catch (IllegalArgumentException e) {
            LOG.errorf("router rejected router=%s error=%s", LogText.of(routerId), LogText.of(e.getMessage()));
            return;
        }
        delegate.onRouterJoined(routerId, dataCentre);
        PeerLink existing = links.get(routerId);
        if (existing != null && existing.address().equals(address)) {
            existing.dataCentre(dataCentre);
            return;
        }
        if (existing != null) {
            existing.close();
        }
        LOG.infof("router joined router=%s address=%s", LogText.of(routerId), address);
        links.put(
                routerId,
                new PeerLink(
                        routerId,
                        address,
                        dataCentre,
                        () -> usageTracker.markEnded(routerId, delegate::onRouterSilent)));
    }

    /**
     * Rejects registrations that belong to no other router: each accepted one counts as a running router. A router that
     * connects to itself would count its own calls twice.
     */
    private void checkRegistration(String routerId, HostPort address) {
        if (routerId.isEmpty()) {
            throw new IllegalArgumentException("router without id at " + address);
        }
        if (!address.hasValidHost()) {
            throw new IllegalArgumentException("host is neither an IP address nor a name: " + address.host());
        }
        if (address.port() == settings.peerPort() && address.host().equals(settings.peerHost())) {
            throw new IllegalArgumentException("has this router's own address " + address);
        }
    }

    /** Records that a router is no longer registered. */
    void unregistered(String routerId) {
        if (links.containsKey(routerId)) {
            unregisteredAtMs.put(routerId, MonotonicClock.nowMs());
        }
    }

    /** Number of routers that should be running, including this one. */
    int expectedRouters() {
        long nowMs = MonotonicClock.nowMs();
        return 1 + (int) links.values().stream().filter(l -> !l.isDown(nowMs)).count();
    }

    /** Number of other routers that are registered, or were until recently, whether they are running or not. */
    int registeredOthers() {
        return links.size();
    }

    /** Whether another router should be running in this router's data centre. */
    boolean hasOthersInDataCentre() {
        long nowMs = MonotonicClock.nowMs();
        return links.values().stream()
                .anyMatch(l -> !l.isDown(nowMs) && l.dataCentre().equals(settings.dataCentre()));
    }

    /** Fraction of the expected routers that messages arrive from; this router counts in both numbers. */
    double heardPart() {
        long nowMs = MonotonicClock.nowMs();
        int n = 1;
        for (Map.Entry<String, PeerLink> e : links.entrySet()) {
            n += !e.getValue().isDown(nowMs) && usageTracker.isAlive(e.getKey(), nowMs) ? 1 : 0;
        }
        return (double) n / expectedRouters();
    }

    /** The other routers that should be running. */
    Set<String> expectedIds() {
        long nowMs = MonotonicClock.nowMs();
        return links.entrySet().stream()
                .filter(e -> !e.getValue().isDown(nowMs))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** The live routers with the lowest ids, without this one, which counts all the same. */
    List<String> lowestLiveIds(int count) {
        long nowMs = MonotonicClock.nowMs();
        return Stream.concat(links.keySet().stream(), Stream.of(settings.routerId()))
                .filter(id -> id.equals(settings.routerId()) || usageTracker.isAlive(id, nowMs))
                .sorted()
                .limit(count)
                .filter(id -> !id.equals(settings.routerId()))
                .toList();
    }

    /** Identifies the current start of this router. */
    long startId() {
        return startId;
    }

    /** Whether this router has the lowest id of the live routers. */
    boolean hasLowestLiveId() {
        return usageTracker.isLowestLiveId(settings.routerId(), MonotonicClock.nowMs());
    }

    /**
     * Whether this router has the lowest id of all that should be running; false while it may not know of some, or does
     * not hear them.
     */
    boolean isFirstOfAll() {
        return MonotonicClock.nowMs() - startedAtMs >= ALL_KNOWN_MS && heardPart() >= 1 && hasLowestLiveId();
    }

    private void received(PeerMessage message) {
        switch (message) {
            case PeerMessage.Usage usage -> usageReceived(usage);
            case PeerMessage.SlotReserved r -> delegate.onSlotReserved(r.targetId());
            case PeerMessage.SlotDemand w -> delegate.onSlotsWanted(w);
            case PeerMessage.Crashes c -> delegate.onCrashes(c);
            case PeerMessage.SuspectCompleted a -> delegate.onAnswered(a);
            case PeerMessage.TargetLimits l -> delegate.onTargetLimits(l);
            case PeerMessage.RefusedRequests r -> delegate.onRefusedRequests(r);
            case PeerMessage.StreamOriginCopy c -> delegate.onStreamOrigin(c);
            case PeerMessage.StreamOriginQuery q -> delegate.onStreamOriginQuery(q);
            case PeerMessage.StreamOriginReply r -> delegate.onStreamOriginReply(r);
            case PeerMessage.StoreQuery q -> delegate.onStoreQuery(q);
            case PeerMessage.StoreReply r -> delegate.onStoreReply(r);
            case PeerMessage.RolloutUpdate u -> delegate.onRolloutUpdate(u);
            case PeerMessage.RolloutReport r -> delegate.onRolloutReport(r);
            default ->
                LOG.warnf(
                        "unexpected message between routers type=%s",
                        message.getClass().getSimpleName());
        }
    }

    private void usageReceived(PeerMessage.Usage usage) {
        long nowMs = MonotonicClock.nowMs();
        PeerMessage.Usage now = usageTracker.update(usage, nowMs);
        PeerLink link = links.get(usage.routerId());
        if (link != null) {
            link.resetDialDelay();
            if (usage.full()) {
                link.reconnectIfStale(nowMs);
            }
        }
        delegate.onUsage(usage.routerId(), now);
    }

    /** Called when a call starts to wait: the next update is sent sooner, so that peers with free slots learn of it. */
    void callQueued() {
        long delayMs = PeerUpdateSchedule.intervalMs(delegate.nearRouters(), true);
        if (nextSendAtMs - MonotonicClock.nowMs() > delayMs) {
            vertx.cancelTimer(sendTimerId);
            scheduleSend(delayMs);
        }
    }

    private void scheduleSend(long delayMs) {
        nextSendAtMs = MonotonicClock.nowMs() + delayMs;
        sendTimerId = vertx.setTimer(delayMs, t -> {
            scheduleSend(PeerUpdateSchedule.intervalMs(delegate.nearRouters(), delegate.callsWait()));
            reads.afterRead(this::sendUpdates);
        });
    }

    private void sendUpdates() {
        long nowMs = MonotonicClock.nowMs();
        usageTracker.expireSilent(nowMs, delegate::onRouterSilent);
        removeDepartedRouters(nowMs);
        if (links.isEmpty()) {
            return;
        }
        Function<String, PeerUpdate> news = delegate.news();
        Map<String, Long> totals = delegate.totals();
        boolean linksUp = links.values().stream().anyMatch(l -> l.connected() && l.needsFullState());
        links.forEach((id, link) -> {
            if (!usageTracker.isAlive(id, nowMs)) {
                link.reconnectIfStale(nowMs);
            }
            if (link.connected()) {
                if (link.needsFullState()) {
                    delegate.broadcastState().forEach(link::sendBestEffort);
                }
                link.send(
                        settings.routerId(),
                        startId,
                        new PeerLink.State(news.apply(id), totals),
                        delegate::windows,
                        nowMs);
            } else {
                link.dial(client, traffic, this::received, nowMs);
            }
        });
        if (linksUp) {
            delegate.onLinksUp();
        }
        delegate.slotsToBorrow()
                .forEach(r -> sendBestEffort(
                        r.router(), new PeerMessage.SlotDemand(settings.routerId(), r.service(), r.waiting())));
    }

    /** Sends a message to every other router at once. */
    void broadcast(PeerMessage.RouterToRouter message) {
        links.values().forEach(l -> l.sendReliably(message));
    }

    /** Sends a message to the other routers of this data centre; it is dropped where there is no connection. */
    void sendToDataCentre(PeerMessage message) {
        links.values().stream()
                .filter(l -> l.dataCentre().equals(settings.dataCentre()))
                .forEach(l -> l.sendBestEffort(message));
    }

    /** The connected routers that come first in the rendezvous order of a hash. */
    List<String> firstConnected(long hash, int count) {
        return RendezvousOrder.first(connectedIds(), hash, count);
    }

    /** The routers that this one is connected to. */
    List<String> connectedIds() {
        return links.entrySet().stream()
                .filter(e -> e.getValue().connected())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Sends a message to one router; it is dropped if there is no connection. */
    void sendBestEffort(String routerId, PeerMessage message) {
        Optional.ofNullable(links.get(routerId)).ifPresent(l -> l.sendBestEffort(message));
    }

    /** A router that messages still arrive from has not left, whatever the registry says. */
    private void removeDepartedRouters(long nowMs) {
        long retentionMs = settings.keyProofMs() > 0 ? REREGISTRATION_MS : DEPARTED_RETENTION_MS;
        unregisteredAtMs.entrySet().removeIf(e -> {
            boolean departed = nowMs - e.getValue() > retentionMs && !usageTracker.isAlive(e.getKey(), nowMs);
            if (departed) {
                LOG.infof("router left router=%s", e.getKey());
                Optional.ofNullable(links.remove(e.getKey())).ifPresent(PeerLink::close);
                usageTracker.forget(e.getKey());
                delegate.onRouterLeft(e.getKey());
            }
            return departed;
        });
    }

    /** Notifies a router that a slot at a target is reserved for it. */
    void sendSlotReserved(String routerId, String targetId) {
        sendBestEffort(routerId, new PeerMessage.SlotReserved(targetId));
    }
}
