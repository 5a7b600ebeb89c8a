package org.onyxhinge.router.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.SlotRequest;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.wire.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Routers on loopback that tell each other what they use. */
class RouterPeersTest {

    private static final long TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();

    private final class Router implements RouterPeers.Side {
        private final int port = Ports.free();
        private final String id;
        private final Map<String, TargetUse> uses = new ConcurrentHashMap<>();
        private final Map<String, Long> totals = new ConcurrentHashMap<>();
        private final Map<String, Map<Integer, Integer>> waiting = new ConcurrentHashMap<>();
        private final Map<String, PeerMessage.Usage> heard = new ConcurrentHashMap<>();
        private final Set<String> reserved = ConcurrentHashMap.newKeySet();
        private final Set<String> borrowed = ConcurrentHashMap.newKeySet();
        private final Map<String, String> joined = new ConcurrentHashMap<>();
        private final AtomicReference<SlotRequest> request = new AtomicReference<>();
        private final AtomicReference<PeerMessage.SlotsWanted> asked = new AtomicReference<>();
        private final Set<PeerMessage.CrashedAgo> crashes = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.CrashedAgo> crashesHeard = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.LimitedAgo> limits = ConcurrentHashMap.newKeySet();
        private final Set<PeerMessage.LimitedAgo> limitsHeard = ConcurrentHashMap.newKeySet();
        private final Set<RequestFingerprint> cleared = ConcurrentHashMap.newKeySet();
        private volatile boolean near = true;
        private final Vertx own = Vertx.vertx();
        /** The one thread that the peers are used from, as in a router. */
        private final Context context = own.getOrCreateContext();

        private final RouterPeers peers;

        Router(String id) {
            this.id = id;
            ForwardingSettings settings = new ForwardingSettings(
                    id, "here", "127.0.0.1", 0, "127.0.0.1", port, 0.1, 1, 1_000, 5_000, 8_000, 0.1, 0, 1_000);
            this.peers = on(() -> RouterPeers.start(own, settings, this));
        }

        @Override
        public Function<String, PeerUpdate> news() {
            return router ->
                    new PeerUpdate(near, Map.copyOf(uses), Map.copyOf(waiting), Map.of(), Set.copyOf(borrowed));
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
        public Optional<SlotRequest> slotsToBorrow() {
            return Optional.ofNullable(request.getAndSet(null));
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
        public void usageHeard(String routerId, PeerMessage.Usage usage) {
            heard.put(routerId, usage);
        }

        @Override
        public void routerSilent(String routerId) {
            heard.remove(routerId);
        }

        @Override
        public void routerJoined(String routerId, String dataCentre) {
            joined.put(routerId, dataCentre);
        }

        @Override
        public void routerLeft(String routerId) {
            joined.remove(routerId);
        }

        @Override
        public void slotReserved(String targetId) {
            reserved.add(targetId);
        }

        @Override
        public void slotsWanted(PeerMessage.SlotsWanted wanted) {
            asked.set(wanted);
        }

        @Override
        public List<PeerMessage.BetweenRouters> knownToAll() {
            return List.of(
                    new PeerMessage.Crashes(List.copyOf(crashes)), new PeerMessage.TargetLimits(List.copyOf(limits)));
        }

        @Override
        public void limitsHeard(PeerMessage.TargetLimits message) {
            limitsHeard.addAll(message.limits());
        }

        @Override
        public void crashesHeard(PeerMessage.Crashes message) {
            crashesHeard.addAll(message.crashes());
        }

        @Override
        public void answeredWhole(PeerMessage.AnsweredWhole answered) {
            cleared.add(answered.request());
        }

        /** Runs something on the peers' thread and waits for what comes of it. */
        private <T> T on(Supplier<Future<T>> action) {
            Promise<T> done = Promise.promise();
            context.runOnContext(v -> action.get().onComplete(done));
            return Launch.await(done.future(), TIMEOUT_MS);
        }

        int known() {
            return on(() -> Future.succeededFuture(peers.known()));
        }

        double heardPart() {
            return on(() -> Future.succeededFuture(peers.heardPart()));
        }

        void knows(Router other) {
            context.runOnContext(v -> peers.registered(other.id, "127.0.0.1:" + other.port, "here"));
        }

        void stop() {
            Launch.await(own.close(), TIMEOUT_MS);
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
    void changesArriveAndWhatEndsIsCleared() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.knows(b);
        b.knows(a);
        a.uses.put("t1", new TargetUse(2, 500));
        a.totals.put("w", 70L);
        await(() -> b.heard.containsKey("a") && b.heard.get("a").uses().containsKey("t1"));
        a.uses.put("t2", new TargetUse(1, 0));
        a.uses.remove("t1");
        await(() -> b.heard.get("a").uses().equals(Map.of("t2", new TargetUse(1, 0))));
        assertThat(a.known(), is(2));
        await(() -> a.heardPart() == 1.0);
        a.stop();
        b.stop();
    }

    @Test
    void whatWaitsIsToldAndASlotCanBeReservedForTheOther() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.knows(b);
        b.knows(a);
        a.waiting.put("writers", Map.of(0, 3));
        await(() -> b.heard.containsKey("a") && b.heard.get("a").waiting().equals(a.waiting));
        a.waiting.clear();
        await(() -> b.heard.get("a").waiting().isEmpty());
        await(() -> b.heardPart() == 1.0 && a.heard.containsKey("b"));
        b.context.runOnContext(v -> b.peers.slotReserved("a", "w1"));
        await(() -> a.reserved.contains("w1"));
        a.stop();
        b.stop();
    }

    /** Guards against a request that crashes targets being sent on by a router that was not there when it did. */
    @Test
    void crashesAreToldAtOnceAndToARouterThatComesLater() {
        PeerMessage.CrashedAgo first = new PeerMessage.CrashedAgo(new RequestFingerprint(1, 2), "t1", 10);
        PeerMessage.CrashedAgo second = new PeerMessage.CrashedAgo(new RequestFingerprint(1, 2), "t2", 10);
        Router a = new Router("a");
        Router b = new Router("b");
        a.crashes.add(first);
        a.knows(b);
        b.knows(a);
        await(() -> b.crashesHeard.contains(first));
        a.context.runOnContext(v -> a.peers.tellAll(new PeerMessage.Crashes(List.of(second))));
        await(() -> b.crashesHeard.contains(second));
        a.context.runOnContext(v -> a.peers.tellAll(new PeerMessage.AnsweredWhole(first.request(), 0)));
        await(() -> b.cleared.contains(first.request()));
        a.stop();
        b.stop();
    }

    /** Guards against a router that goes on at full rate because it was not there when a target named its limit. */
    @Test
    void limitsOfTargetsAreToldToARouterThatComesLater() {
        PeerMessage.LimitedAgo limit = new PeerMessage.LimitedAgo("t1", true, 2.5, 10);
        Router a = new Router("a");
        Router b = new Router("b");
        a.limits.add(limit);
        a.knows(b);
        b.knows(a);
        await(() -> b.limitsHeard.contains(limit));
        a.stop();
        b.stop();
    }

    @Test
    void aRouterWhoseProcessEndedIsNotTakenForOneThatIsUnheard() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.knows(b);
        b.knows(a);
        await(() -> a.heardPart() == 1.0 && a.heard.containsKey("b"));
        b.stop();
        long endedNs = System.nanoTime();
        await(() -> a.known() == 1);
        assertThat(a.heardPart(), is(1.0));
        await(() -> !a.heard.containsKey("b"));
        long untilForgottenMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - endedNs);
        assertThat("sooner than one that is silent", untilForgottenMs < HeardRouters.SILENT_MS, is(true));
        a.stop();
    }

    /** 6, 21 and 410 routers: what each sends stays bounded, and in the largest fleet nobody is taken for silent. */
    @Test
    void aLargerFleetSpeaksLessOftenButNeverFallsSilent() {
        assertThat(PeerUpdateSchedule.intervalMs(5, false), is(60L));
        assertThat(PeerUpdateSchedule.intervalMs(5, true), is(20L));
        assertThat(PeerUpdateSchedule.intervalMs(20, false), is(240L));
        assertThat(PeerUpdateSchedule.intervalMs(20, true), is(80L));
        assertThat(PeerUpdateSchedule.intervalMs(409, false) * 3 < HeardRouters.SILENT_MS, is(true));
        assertThat(PeerUpdateSchedule.intervalMs(409, true) * 3 < HeardRouters.SILENT_MS, is(true));
    }

    /** Of another group a router is told at once what it lent, and all else with the next sign of life. */
    @Test
    void aRouterOfAnotherGroupIsToldLessOftenAndCanBeAskedForSlots() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.near = false;
        b.near = false;
        a.knows(b);
        b.knows(a);
        await(() -> b.heard.containsKey("a") && a.heard.containsKey("b"));
        assertThat(a.joined.get("b"), is("here"));
        a.request.set(new SlotRequest("b", "writers", Map.of(2, 7)));
        await(() -> b.asked.get() != null);
        assertThat(b.asked.get(), is(new PeerMessage.SlotsWanted("a", "writers", Map.of(2, 7))));
        a.uses.put("own", new TargetUse(1, 0));
        a.borrowed.add("lent");
        a.uses.put("lent", new TargetUse(1, 0));
        await(() -> b.heard.get("a").uses().containsKey("lent"));
        a.uses.remove("lent");
        await(() -> b.heard.get("a").uses().equals(Map.of("own", new TargetUse(1, 0))));
        a.stop();
        b.stop();
    }

    /** All registrations lapse while the store is away, also those of routers that live and hear each other. */
    @Test
    void aRouterThatIsHeardHasNotLeftThoughItsRegistrationLapsed() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.knows(b);
        b.knows(a);
        await(() -> a.heardPart() == 1.0 && a.heard.containsKey("b"));
        a.context.runOnContext(v -> a.peers.unregistered("b"));
        b.totals.put("w", 1L);
        await(() -> a.heard.get("b").totals().containsKey("w"));
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(4_000);
        await(() -> System.nanoTime() > untilNs || a.known() != 2);
        assertThat(a.known(), is(2));
        b.totals.put("w", 2L);
        await(() -> a.heard.get("b").totals().getOrDefault("w", 0L) == 2L);
        a.stop();
        b.stop();
    }

    @Test
    void aRegistrationThatNamesNoAddressIsNoRouter() {
        Router a = new Router("a");
        Router b = new Router("b");
        a.context.runOnContext(v -> a.peers.registered("other", "nowhere", "here"));
        a.knows(b);
        b.knows(a);
        await(() -> a.heard.containsKey("b"));
        assertThat(a.known(), is(2));
        a.stop();
        b.stop();
    }
}
