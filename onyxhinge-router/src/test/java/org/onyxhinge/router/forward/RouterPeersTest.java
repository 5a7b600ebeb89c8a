package org.onyxhinge.router.forward;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.SlotRequest;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.runtime.server.ServerCapacity;
import org.onyxhinge.wire.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** State exchange between routers on loopback. */
class RouterPeersTest {

    private static final long TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();

    private final class Router implements RouterPeers.Delegate {
        private final int port = Ports.free();
        private final String id;
        private final Map<String, TargetUse> uses = new ConcurrentHashMap<>();
        private final Map<String, Long> totals = new ConcurrentHashMap<>();
        private final Map<String, Map<Integer, Integer>> waiting = new ConcurrentHashMap<>();
        private final Map<String, PeerMessage.Usage> usages = new ConcurrentHashMap<>();
        /** The latest total of each router and workspace; a message has only those that have changed. */
        private final Map<String, Map<String, Long>> heardTotals = new ConcurrentHashMap<>();

        private final Set<String> reserved = ConcurrentHashMap.newKeySet();
        private final Set<String> borrowed = ConcurrentHashMap.newKeySet();
        private final Map<String, String> joined = new ConcurrentHashMap<>();
        private final AtomicReference<SlotRequest> slotRequest = new AtomicReference<>();
        private final AtomicReference<PeerMessage.SlotDemand> slotsWanted = new AtomicReference<>();
        private final Set<PeerMessage.CrashReport> crashes = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.CrashReport> receivedCrashes = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.LimitReport> limits = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.LimitReport> receivedLimits = ConcurrentHashMap.newKeySet();
        private final Set<Fingerprint> answeredRequests = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.RolloutUpdate> rolloutUpdates = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.RolloutReport> rolloutReports = ConcurrentHashMap.newKeySet();
        private volatile boolean near = true;
        private final Vertx ownVertx = Vertx.vertx();
        /** The only thread that uses the peers, as in a router. */
        private final Context context = ownVertx.getOrCreateContext();

        private final RouterPeers peers;

        Router(String id) {
            this.id = id;
            ForwardingSettings settings = new ForwardingSettings(
                    id,
                    "here",
                    "127.0.0.1",
                    0,
                    "127.0.0.1",
                    port,
                    0.1,
                    1,
                    1_000,
                    5_000,
                    8_000,
                    0.1,
                    0,
                    RolloutFixtures.SETTINGS,
                    1_000,
                    0,
                    0,
                    ForwardingSettings.heapBytes(ForwardingSettings.DEFAULT_BODY_MEMORY_PERCENT),
                    ServerCapacity.ofHeads(1_000),
                    ContentionSettings.none());
            this.peers = runOnContext(() -> RouterPeers.start(ownVertx, settings, this));
        }

        @Override
        public Function<String, PeerUpdate> news() {
            return router -> new PeerUpdate(
                    near, Map.copyOf(uses), Map.copyOf(waiting), Map.of(), Map.of(), Set.copyOf(borrowed));
        }

        @Override
        public int nearRouters() {
            return near ? 1 : 0;
        }

        @Override
        public boolean callsWait() {
            return !waiting.isEmpty();
        }

        @Override
        public List<SlotRequest> slotsToBorrow() {
            return Stream.ofNullable(slotRequest.getAndSet(null)).toList();
        }

        @Override
        public Map<String, Long> totals() {
            return Map.copyOf(totals);
        }

        @Override
        public Map<String, Long> windows() {
            return Map.of("w", 7L);
        }

        @Override
        public void onUsage(String routerId, PeerMessage.Usage usage) {
            heardTotals
                    .computeIfAbsent(routerId, id -> new ConcurrentHashMap<>())
                    .putAll(usage.totals());
            usages.put(routerId, usage);
        }

        @Override
        public void onRouterSilent(String routerId) {
            usages.remove(routerId);
        }

        @Override
        public void onRouterJoined(String routerId, String dataCentre) {
            joined.put(routerId, dataCentre);
        }

        @Override
        public void onRouterLeft(String routerId) {
            joined.remove(routerId);
        }

        @Override
        public void onSlotReserved(String targetId) {
            reserved.add(targetId);
        }

        @Override
        public void onSlotsWanted(PeerMessage.SlotDemand wanted) {
            slotsWanted.set(wanted);
        }

        @Override
        public List<PeerMessage.RouterToRouter> broadcastState() {
            return List.of(
                    new PeerMessage.Crashes(List.copyOf(crashes)), new PeerMessage.TargetLimits(List.copyOf(limits)));
        }

        @Override
        public void onRefusedRequests(PeerMessage.RefusedRequests refused) {}

        @Override
        public void onTargetLimits(PeerMessage.TargetLimits message) {
            receivedLimits.addAll(message.limits());
        }

        @Override
        public void onLinksUp() {}

        @Override
        public void onCrashes(PeerMessage.Crashes message) {
            receivedCrashes.addAll(message.crashes());
        }

        @Override
        public void onAnswered(PeerMessage.SuspectCompleted answered) {
            answeredRequests.add(answered.suspect());
        }

        @Override
        public void onStreamOrigin(PeerMessage.StreamOriginCopy copy) {}

        @Override
        public void onStreamOriginQuery(PeerMessage.StreamOriginQuery query) {}

        @Override
        public void onStreamOriginReply(PeerMessage.StreamOriginReply reply) {}

        @Override
        public void onStoreQuery(PeerMessage.StoreQuery query) {}

        @Override
        public void onStoreReply(PeerMessage.StoreReply reply) {}

        @Override
        public void onRolloutUpdate(PeerMessage.RolloutUpdate update) {
            rolloutUpdates.add(update);
        }

        @Override
        public void onRolloutReport(PeerMessage.RolloutReport report) {
            rolloutReports.add(report);
        }

        /** Runs an action on the peers' thread and waits for its result. */
        private <T> T runOnContext(Supplier<Future<T>> action) {
            Promise<T> done = Promise.promise();
            context.runOnContext(v -> action.get().onComplete(done));
            return Launch.await(done.future(), TIMEOUT_MS);
        }

        int expectedRouters() {
            return runOnContext(() -> Future.succeededFuture(peers.expectedRouters()));
        }

        double heardPart() {
            return runOnContext(() -> Future.succeededFuture(peers.heardPart()));
        }

        void registerPeer(Router other) {
            context.runOnContext(v -> peers.registered(other.id, "127.0.0.1:" + other.port, "here"));
        }

        void stop() {
            Launch.await(ownVertx.close(), TIMEOUT_MS);
        }
    }

    private static void await(BooleanSupplier condition) {
        Conditions.await(condition, TIMEOUT_MS);
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    @Test
    void sendsChangesAndClearsEndedUses() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.registerPeer(b);
        b.registerPeer(a);
        a.uses.put("t1", new TargetUse(2, 500));
        a.totals.put("w", 70L);
        await(() -> b.usages.containsKey("a") && b.usages.get("a").uses().containsKey("t1"));
        a.uses.put("t2", new TargetUse(1, 0));
        a.uses.remove("t1");
        await(() -> b.usages.get("a").uses().equals(Map.of("t2", new TargetUse(1, 0))));
        assertThat(a.expectedRouters(), is(2));
        await(() -> a.heardPart() == 1.0);
        a.stop();
        b.stop();
    }

    /** Guards against an invalid registration of a router that keeps the others from being reached. */
    @Test
    void oddRegistrationsDoNotDelayTheOthers() {
        Router a = new Router("a");
        Router b = new Router("b");
        List<String> hosts = List.of(
                " ",
                "a b",
                "\u0000",
                "\n",
                "..",
                ".",
                "x".repeat(100),
                "x".repeat(100_000),
                "\ud800",
                "a..b",
                "-",
                "[",
                "a/b",
                "%");
        for (int i = 0; i < 100; i++) {
            String id = "odd" + i;
            String address = hosts.get(i % hosts.size()) + ":" + (i + 1);
            a.context.runOnContext(v -> a.peers.registered(id, address, "here"));
        }
        a.registerPeer(b);
        b.registerPeer(a);
        long startNs = System.nanoTime();
        await(() -> b.usages.containsKey("a"));
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs) < 1_000, is(true));
        assertThat(a.expectedRouters(), is(2));
        a.stop();
        b.stop();
    }

    /** Guards against a router that connects without a pause to a registered address where something else answers. */
    @Test
    void addressOfAnotherServiceIsNotDialedWithoutPause() {
        Router a = new Router("a");
        AtomicInteger connections = new AtomicInteger();
        NetServer other = Launch.await(
                vertx.createNetServer()
                        .connectHandler(socket -> {
                            connections.incrementAndGet();
                            socket.end(Buffer.buffer("HTTP/1.1 400 Bad Request\r\n\r\n"));
                        })
                        .listen(0, "127.0.0.1"),
                TIMEOUT_MS);
        a.context.runOnContext(v -> a.peers.registered("odd", "127.0.0.1:" + other.actualPort(), "here"));
        await(() -> connections.get() > 1);
        int before = connections.get();
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
        await(() -> System.nanoTime() > endNs);
        assertThat(connections.get() - before, lessThan(6));
        a.stop();
    }

    /** Guards against a router that counts its own calls twice because a registration names its address. */
    @Test
    void registrationWithTheOwnAddressIsIgnored() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.context.runOnContext(v -> a.peers.registered("copy", "127.0.0.1:" + a.port, "here"));
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> a.usages.containsKey("b") && b.usages.containsKey("a"));
        assertThat(a.usages.containsKey("a"), is(false));
        assertThat(a.expectedRouters(), is(2));
        a.stop();
        b.stop();
    }

    @Test
    void sendsWaitingCallsAndSlotReservations() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.registerPeer(b);
        b.registerPeer(a);
        a.waiting.put("writers", Map.of(0, 3));
        await(() -> b.usages.containsKey("a") && b.usages.get("a").waiting().equals(a.waiting));
        a.waiting.clear();
        await(() -> b.usages.get("a").waiting().isEmpty());
        await(() -> b.heardPart() == 1.0 && a.usages.containsKey("b"));
        b.context.runOnContext(v -> b.peers.sendSlotReserved("a", "w1"));
        await(() -> a.reserved.contains("w1"));
        a.stop();
        b.stop();
    }

    /** Guards against a router that was not running at the time of a crash forwarding the request that caused it. */
    @Test
    void broadcastsCrashesAndSendsThemToNewRouters() {
        PeerMessage.CrashReport first = new PeerMessage.CrashReport(new Fingerprint(1, 2), "t1", 10);
        PeerMessage.CrashReport second = new PeerMessage.CrashReport(new Fingerprint(1, 2), "t2", 10);
        Router a = new Router("a");
        Router b = new Router("b");
        a.crashes.add(first);
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> b.receivedCrashes.contains(first));
        a.context.runOnContext(v -> a.peers.broadcast(new PeerMessage.Crashes(List.of(second))));
        await(() -> b.receivedCrashes.contains(second));
        a.context.runOnContext(v -> a.peers.broadcast(new PeerMessage.SuspectCompleted(first.suspect(), 0)));
        await(() -> b.answeredRequests.contains(first.suspect()));
        a.stop();
        b.stop();
    }

    /** Guards against a router that starts after a target reported its limit and goes on sending at full rate. */
    @Test
    void sendsTargetLimitsToNewRouters() {
        PeerMessage.LimitReport limit = new PeerMessage.LimitReport("t1", true, 2.5, 10);
        Router a = new Router("a");
        Router b = new Router("b");
        a.limits.add(limit);
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> b.receivedLimits.contains(limit));
        a.stop();
        b.stop();
    }

    @Test
    void endedRouterIsNotCountedAsUnheard() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> a.heardPart() == 1.0 && a.usages.containsKey("b"));
        b.stop();
        long endedNs = System.nanoTime();
        await(() -> a.expectedRouters() == 1);
        assertThat(a.heardPart(), is(1.0));
        await(() -> !a.usages.containsKey("b"));
        long untilForgottenMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - endedNs);
        assertThat("forgotten before the silence limit", untilForgottenMs < PeerUsageTracker.SILENT_MS, is(true));
        a.stop();
    }

    /**
     * 6, 21 and 410 routers: the send rate of each stays bounded, and even in the largest fleet no router counts as
     * silent.
     */
    @Test
    void sendIntervalGrowsWithFleetButStaysBelowSilenceLimit() {
        assertThat(PeerUpdateSchedule.intervalMs(5, false), is(60L));
        assertThat(PeerUpdateSchedule.intervalMs(5, true), is(20L));
        assertThat(PeerUpdateSchedule.intervalMs(20, false), is(240L));
        assertThat(PeerUpdateSchedule.intervalMs(20, true), is(80L));
        assertThat(PeerUpdateSchedule.intervalMs(409, false) * 3 < PeerUsageTracker.SILENT_MS, is(true));
        assertThat(PeerUpdateSchedule.intervalMs(409, true) * 3 < PeerUsageTracker.SILENT_MS, is(true));
    }

    /**
     * A router of another group is notified at once only of borrowed slots; everything else comes with the next
     * heartbeat.
     */
    @Test
    void otherGroupGetsFewerUpdatesAndCanBeAskedForSlots() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.near = false;
        b.near = false;
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> b.usages.containsKey("a") && a.usages.containsKey("b"));
        assertThat(a.joined.get("b"), is("here"));
        a.slotRequest.set(new SlotRequest("b", "writers", Map.of(2, 7)));
        await(() -> b.slotsWanted.get() != null);
        assertThat(b.slotsWanted.get(), is(new PeerMessage.SlotDemand("a", "writers", Map.of(2, 7))));
        a.uses.put("own", new TargetUse(1, 0));
        a.borrowed.add("lent");
        a.uses.put("lent", new TargetUse(1, 0));
        await(() -> b.usages.get("a").uses().containsKey("lent"));
        a.uses.remove("lent");
        await(() -> b.usages.get("a").uses().equals(Map.of("own", new TargetUse(1, 0))));
        a.stop();
        b.stop();
    }

    /** All registrations lapse while the store is unavailable, including those of live routers that hear each other. */
    @Test
    void liveRouterStaysAfterRegistrationLapses() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> a.heardPart() == 1.0 && a.usages.containsKey("b"));
        a.context.runOnContext(v -> a.peers.unregistered("b"));
        b.totals.put("w", 1L);
        await(() -> a.heardTotals.get("b").containsKey("w"));
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(4_000);
        await(() -> System.nanoTime() > untilNs || a.expectedRouters() != 2);
        assertThat(a.expectedRouters(), is(2));
        b.totals.put("w", 2L);
        await(() -> a.heardTotals.get("b").get("w") == 2L);
        a.stop();
        b.stop();
    }

    @Test
    void ignoresRegistrationWithInvalidAddress() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.context.runOnContext(v -> a.peers.registered("other", "nowhere", "here"));
        a.registerPeer(b);
        b.registerPeer(a);
        await(() -> a.usages.containsKey("b"));
        assertThat(a.expectedRouters(), is(2));
        a.stop();
        b.stop();
    }
}
