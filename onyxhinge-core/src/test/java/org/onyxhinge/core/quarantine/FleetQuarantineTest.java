package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A fleet of routers and crashing engines in virtual time: engines crash because of one request that crashes every
 * engine that runs it, or for other reasons, under load with popular requests.
 */
class FleetQuarantineTest {

    private static final int SLOTS = 11;
    private static final long RUN_MS = 60_000;
    private static final long CALL_MS = 1_000;
    /** Minimum delay from a crash until another router learns of it. */
    private static final long PEER_DELAY_MS = 5;

    private static final long DOWN_MS = 4_000;
    private static final Fingerprint CRASHING = new Fingerprint(0, 0);
    /** Time within which all routers must have learned what one of them knows. */
    private static final long PROPAGATION_MS = 3_000;

    private static final int TOLERATED_CRASHES = 5;
    private static final int TOLERATED_SENDS = 3;

    /** One simulated fleet. */
    private static final class Fleet {

        private final Random random;
        private final List<Quarantine> routers = new ArrayList<>();
        private final List<Engine> engines = new ArrayList<>();
        private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();
        private final Set<Fingerprint> quarantined = new HashSet<>();
        /** What crashes every engine, and from when on. */
        private final Map<Fingerprint, Long> crashing = new HashMap<>(Map.of(CRASHING, 0L));

        private final Map<Fingerprint, List<Long>> crashTimesMs = new HashMap<>();
        private final Map<Fingerprint, List<Long>> sendTimesMs = new HashMap<>();
        private int crashesByRequest;
        private int refused;
        private int submitted;
        private long nowMs;

        Fleet(int size, long seed) {
            random = new Random(seed);
            for (int i = 0; i < size; i++) {
                routers.add(Quarantine.create());
            }
            for (int i = 0; i < 2 * size + 3; i++) {
                engines.add(new Engine(i));
            }
        }

        private static final class Engine {
            private final int number;
            private final Map<Object, Suspects> running = new HashMap<>();
            private int restarts;
            private boolean down;

            Engine(int number) {
                this.number = number;
            }

            String incarnation() {
                return number + "@" + restarts;
            }
        }

        void scheduleAt(long ms, Runnable event) {
            events.computeIfAbsent(ms, t -> new ArrayList<>()).add(event);
        }

        void run() {
            while (!events.isEmpty() && events.firstKey() <= RUN_MS) {
                nowMs = events.firstKey();
                events.pollFirstEntry().getValue().forEach(Runnable::run);
            }
        }

        /** A caller sends a request to a random router and does not retry when it is refused; true if it is sent. */
        boolean submit(Suspects request) {
            Quarantine router = routers.get(random.nextInt(routers.size()));
            Engine engine = engines.get(random.nextInt(engines.size()));
            submitted++;
            if (!maySend(router, request)) {
                refused++;
                return false;
            }
            if (engine.down || engine.running.size() >= SLOTS) {
                endTrial(router, request);
                return true;
            }
            Object call = new Object();
            int restarts = engine.restarts;
            long sentAtMs = nowMs;
            engine.running.put(call, request);
            Optional<Fingerprint> atFault = request.all().stream()
                    .filter(s -> crashing.getOrDefault(s, Long.MAX_VALUE) <= nowMs)
                    .findFirst();
            if (atFault.isPresent()) {
                sendTimesMs
                        .computeIfAbsent(atFault.get(), f -> new ArrayList<>())
                        .add(nowMs);
                scheduleAt(nowMs + 1 + random.nextInt(150), () -> {
                    crashByRequest(engine, restarts, atFault.get());
                    endTrial(router, request);
                });
            } else {
                scheduleAt(nowMs + 1 + random.nextInt((int) CALL_MS), () -> {
                    complete(router, engine, call, sentAtMs);
                    endTrial(router, request);
                });
            }
            return true;
        }

        boolean submit(Fingerprint request) {
            return submit(Suspects.of(request, List.of()));
        }

        private boolean maySend(Quarantine router, Suspects request) {
            return switch (router.decide(request, nowMs)) {
                case SEND -> true;
                case TRY -> router.beginTrial(request, nowMs);
                case WITHHOLD -> false;
            };
        }

        private void endTrial(Quarantine router, Suspects request) {
            router.endTrial(request, nowMs);
        }

        private void crashByRequest(Engine engine, int restarts, Fingerprint atFault) {
            if (engine.restarts == restarts && !engine.down) {
                crashesByRequest++;
                crashTimesMs.computeIfAbsent(atFault, f -> new ArrayList<>()).add(nowMs);
                crash(engine);
            }
        }

        /** What any router still withholds. */
        Set<Fingerprint> heldAtTheEnd() {
            return quarantined.stream()
                    .filter(s -> routers.stream().anyMatch(r -> r.holds(s, nowMs)))
                    .collect(Collectors.toSet());
        }

        /** Sends of what crashes engines, after all routers can know of the fifth crash. */
        long sendsAfterFifthCrash(Fingerprint atFault) {
            List<Long> crashes = crashTimesMs.getOrDefault(atFault, List.of());
            if (crashes.size() < TOLERATED_CRASHES) {
                return 0;
            }
            long fromMs = crashes.get(TOLERATED_CRASHES - 1) + PROPAGATION_MS;
            return sendTimesMs.get(atFault).stream().filter(at -> at > fromMs).count();
        }

        private void complete(Quarantine router, Engine engine, Object call, long sentAtMs) {
            Suspects request = engine.running.remove(call);
            if (request != null) {
                request.all().stream()
                        .filter(s -> router.answered(s, sentAtMs))
                        .forEach(s -> broadcastAnswered(s, sentAtMs));
            }
        }

        void crash(Engine engine) {
            List<Crash> crashes = engine.running.values().stream()
                    .flatMap(r -> r.all().stream())
                    .distinct()
                    .map(r -> new Crash(r, engine.incarnation(), nowMs))
                    .toList();
            engine.running.clear();
            engine.down = true;
            engine.restarts++;
            scheduleAt(nowMs + DOWN_MS, () -> engine.down = false);
            routers.forEach(
                    r -> scheduleAt(nowMs + PEER_DELAY_MS + random.nextInt(50), () -> applyCrashes(r, crashes)));
        }

        private void applyCrashes(Quarantine router, List<Crash> crashes) {
            for (Crash c : crashes) {
                switch (router.recordCrash(c, nowMs)) {
                    case QUARANTINED -> quarantined.add(c.suspect());
                    case CLEARED ->
                        broadcastAnswered(
                                c.suspect(),
                                nowMs - router.answeredAgoMs(c.suspect(), nowMs).orElseThrow());
                    default -> {
                        // The request is only suspected, or the crash was known before.
                    }
                }
            }
        }

        private void broadcastAnswered(Fingerprint request, long atMs) {
            routers.forEach(r -> scheduleAt(nowMs + PEER_DELAY_MS, () -> r.answered(request, atMs)));
        }

        void crashEveryNth(int step) {
            for (int i = 0; i < engines.size(); i += step) {
                crash(engines.get(i));
            }
        }
    }

    private static Fleet fleetUnderLoad(int routers, long seed) {
        Fleet fleet = new Fleet(routers, seed);
        int perSecond = routers * 12;
        for (long ms = 0; ms < RUN_MS; ms += 1_000) {
            for (int i = 0; i < perSecond; i++) {
                // One fifth of the load consists of ten popular requests.
                boolean popular = i % 5 == 0;
                Fingerprint request =
                        new Fingerprint(popular ? 1 : 2, popular ? fleet.random.nextInt(10) : fleet.random.nextLong());
                fleet.scheduleAt(ms + fleet.random.nextInt(1_000), () -> fleet.submit(request));
            }
        }
        return fleet;
    }

    @Nested
    class OneRequestCrashesEngines {

        /**
         * Copies in flight when the third engine ends, and until all routers have learned of it, crash further engines.
         */
        private static final int IN_FLIGHT_ALLOWANCE = 4;

        @Test
        void crashesStayNearTheThresholdAtAnyFleetSize() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= 5; seed++) {
                    Fleet fleet = fleetUnderLoad(routers, seed);
                    for (long ms = 10_000; ms < RUN_MS; ms += 100) {
                        fleet.scheduleAt(ms, () -> fleet.submit(CRASHING));
                    }
                    fleet.run();
                    String run = routers + " routers, seed " + seed;
                    assertThat(
                            run,
                            fleet.crashesByRequest,
                            lessThanOrEqualTo(Quarantine.CRASH_THRESHOLD + IN_FLIGHT_ALLOWANCE));
                    assertThat(run, fleet.quarantined, is(Set.of(CRASHING)));
                }
            }
        }
    }

    @Nested
    class EnginesCrashForOtherReasons {

        /** Guards against refusing legitimate requests when a sixth of the engines ends at once, repeatedly. */
        @Test
        void noRequestIsQuarantined() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= 5; seed++) {
                    Fleet fleet = fleetUnderLoad(routers, seed);
                    for (long ms = 5_000; ms < RUN_MS; ms += 5_000) {
                        fleet.scheduleAt(ms, () -> fleet.crashEveryNth(6));
                    }
                    fleet.run();
                    assertThat(routers + " routers, seed " + seed, fleet.quarantined, is(Set.of()));
                    assertThat(fleet.refused, is(0));
                }
            }
        }
    }

    /**
     * Requests that share one part crash every engine, at random routers, beside the usual load. Half of the load shares
     * eight first parts, and all of it a few hundred parts of sessions.
     */
    @Nested
    class OnePartCrashesEngines {

        private static final Fingerprint BAD = Fingerprint.ofPromptPart("bad");
        private static final long FROM_MS = 10_000;
        private static final long BAD_INTERVAL_MS = 250;

        private int requests;

        /** The largest fleet takes some seconds a run. */
        private static int seeds(int routers) {
            return routers < 99 ? 2 : 1;
        }

        private Suspects request(String... parts) {
            return Suspects.of(new Fingerprint(7, requests++), List.of(parts));
        }

        private void scheduleEvery(Fleet fleet, long fromMs, long intervalMs, Runnable event) {
            for (long ms = fromMs; ms < RUN_MS; ms += intervalMs) {
                fleet.scheduleAt(ms, event);
            }
        }

        private Fleet fleetWithParts(int routers, long seed) {
            Fleet fleet = new Fleet(routers, seed);
            int perSecond = routers * 12;
            for (long ms = 0; ms < RUN_MS; ms += 1_000) {
                for (int i = 0; i < perSecond; i++) {
                    String first =
                            i % 2 == 0 ? "route" + fleet.random.nextInt(8) : "workspace" + fleet.random.nextInt(40);
                    String session = "session" + fleet.random.nextInt(40 * routers);
                    fleet.scheduleAt(ms + fleet.random.nextInt(1_000), () -> fleet.submit(request(first, session)));
                }
            }
            return fleet;
        }

        private void assertBound(Fleet fleet, Fingerprint atFault, String run) {
            assertThat(run, fleet.sendsAfterFifthCrash(atFault), lessThanOrEqualTo((long) TOLERATED_SENDS));
        }

        /** Guards against one target after another that ends because of a part that new requests name again. */
        @Test
        void onlyThatPartIsQuarantined() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= seeds(routers); seed++) {
                    Fleet fleet = fleetWithParts(routers, seed);
                    fleet.crashing.put(BAD, 0L);
                    scheduleEvery(fleet, FROM_MS, BAD_INTERVAL_MS, () -> fleet.submit(request("route1", "bad")));
                    fleet.run();
                    String run = routers + " routers, seed " + seed;
                    assertBound(fleet, BAD, run);
                    assertThat(run, fleet.crashesByRequest, lessThanOrEqualTo(2 * Quarantine.CRASH_THRESHOLD));
                    assertThat(run, fleet.quarantined, is(Set.of(BAD)));
                }
            }
        }

        /** Guards against a part that is blamed for nothing because it was answered before it began to crash targets. */
        @Test
        void partThatWasAnsweredBeforeIsQuarantinedToo() {
            Fingerprint popular = Fingerprint.ofPromptPart("route1");
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= seeds(routers); seed++) {
                    Fleet fleet = fleetWithParts(routers, seed);
                    fleet.crashing.put(popular, 20_000L);
                    fleet.run();
                    String run = routers + " routers, seed " + seed;
                    assertBound(fleet, popular, run);
                    assertThat(run, fleet.quarantined.contains(popular), is(true));
                    assertThat(run, fleet.quarantined.contains(Fingerprint.ofPromptPart("route2")), is(false));
                }
            }
        }

        @Test
        void twoPartsAtOnceAreQuarantined() {
            for (int routers : new int[] {5, 33, 99}) {
                Fleet fleet = fleetWithParts(routers, 1);
                Fingerprint other = Fingerprint.ofPromptPart("bad2");
                fleet.crashing.put(BAD, 0L);
                fleet.crashing.put(other, 0L);
                scheduleEvery(fleet, FROM_MS, BAD_INTERVAL_MS, () -> fleet.submit(request("route1", "bad")));
                scheduleEvery(fleet, FROM_MS, BAD_INTERVAL_MS, () -> fleet.submit(request("workspace1", "bad2")));
                fleet.run();
                assertBound(fleet, BAD, routers + " routers");
                assertBound(fleet, other, routers + " routers");
                assertThat(fleet.quarantined, is(Set.of(BAD, other)));
            }
        }

        /** Guards against parts that are withheld because a sixth of the engines ends at once, repeatedly. */
        @Test
        void ordinaryCrashesQuarantineNoPart() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= seeds(routers); seed++) {
                    Fleet fleet = fleetWithParts(routers, seed);
                    scheduleEvery(fleet, 5_000, 5_000, () -> fleet.crashEveryNth(6));
                    fleet.run();
                    String run = routers + " routers, seed " + seed;
                    assertThat(run, fleet.refused, is(0));
                    assertThat(run, fleet.heldAtTheEnd(), is(Set.of()));
                }
            }
        }

        /**
         * Guards against a part that stays withheld because it was in the same crashes and is no longer sent: sound
         * requests with it must begin at least half as often as usual while the others still come.
         */
        @Test
        void soundRequestsWithAnotherPartOfThoseRequestsAreServed() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= seeds(routers); seed++) {
                    Fleet fleet = fleetWithParts(routers, seed);
                    fleet.crashing.put(BAD, 0L);
                    scheduleEvery(fleet, FROM_MS, BAD_INTERVAL_MS, () -> fleet.submit(request("rare", "bad")));
                    int[] sent = new int[2];
                    scheduleEvery(fleet, FROM_MS + 3 * PROPAGATION_MS, BAD_INTERVAL_MS, () -> {
                        sent[0] += fleet.submit(request("rare", "own")) ? 1 : 0;
                        sent[1]++;
                    });
                    fleet.run();
                    String run = routers + " routers, seed " + seed;
                    assertThat(run, 2 * sent[0], greaterThanOrEqualTo(sent[1]));
                    assertBound(fleet, BAD, run);
                }
            }
        }
    }
}
