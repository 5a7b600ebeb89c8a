package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Routers before engines that crash, in virtual time: under one request that crashes each engine that runs it, and for
 * causes of their own, while many ask for the same few things.
 */
class FleetQuarantineTest {

    private static final int SLOTS = 11;
    private static final long RUN_MS = 60_000;
    private static final long CALL_MS = 1_000;
    /** From a crash to the first message of it at another router. */
    private static final long TOLD_AFTER_MS = 5;

    private static final long DOWN_MS = 4_000;
    private static final RequestFingerprint CRASHING = new RequestFingerprint(0, 0);

    /** One run of a fleet. */
    private static final class Fleet {

        private final Random random;
        private final List<Quarantine> routers = new ArrayList<>();
        private final List<Engine> engines = new ArrayList<>();
        private final TreeMap<Long, List<Runnable>> agenda = new TreeMap<>();
        private final Set<RequestFingerprint> quarantined = new HashSet<>();
        private int crashesByRequest;
        private int refused;
        private int asked;
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
            private final Map<Object, RequestFingerprint> running = new HashMap<>();
            private int life;
            private boolean down;

            Engine(int number) {
                this.number = number;
            }

            String incarnation() {
                return number + "@" + life;
            }
        }

        void at(long ms, Runnable event) {
            agenda.computeIfAbsent(ms, t -> new ArrayList<>()).add(event);
        }

        void run() {
            while (!agenda.isEmpty() && agenda.firstKey() <= RUN_MS) {
                nowMs = agenda.firstKey();
                agenda.pollFirstEntry().getValue().forEach(Runnable::run);
            }
        }

        /** A caller asks at some router, and leaves if it is refused. */
        void ask(RequestFingerprint request) {
            Quarantine router = routers.get(random.nextInt(routers.size()));
            Engine engine = engines.get(random.nextInt(engines.size()));
            asked++;
            if (router.holds(request, nowMs)) {
                refused++;
                return;
            }
            if (engine.down || engine.running.size() >= SLOTS) {
                return;
            }
            Object call = new Object();
            int life = engine.life;
            engine.running.put(call, request);
            if (request.equals(CRASHING)) {
                at(nowMs + 1 + random.nextInt(150), () -> crashBy(engine, life));
            } else {
                at(nowMs + 1 + random.nextInt((int) CALL_MS), () -> whole(router, engine, call));
            }
        }

        private void crashBy(Engine engine, int life) {
            if (engine.life == life && !engine.down) {
                crashesByRequest++;
                crash(engine);
            }
        }

        private void whole(Quarantine router, Engine engine, Object call) {
            RequestFingerprint request = engine.running.remove(call);
            if (request != null && router.answered(request, nowMs)) {
                tellAnswered(request, nowMs);
            }
        }

        void crash(Engine engine) {
            List<Crash> crashes = engine.running.values().stream()
                    .map(r -> new Crash(r, engine.incarnation(), nowMs))
                    .toList();
            engine.running.clear();
            engine.down = true;
            engine.life++;
            at(nowMs + DOWN_MS, () -> engine.down = false);
            routers.forEach(r -> at(nowMs + TOLD_AFTER_MS + random.nextInt(50), () -> takeIn(r, crashes)));
        }

        private void takeIn(Quarantine router, List<Crash> crashes) {
            for (Crash c : crashes) {
                switch (router.crashed(c, nowMs)) {
                    case QUARANTINED -> quarantined.add(c.request());
                    case CLEARED ->
                        tellAnswered(
                                c.request(),
                                nowMs - router.answeredAgoMs(c.request(), nowMs).orElseThrow());
                    default -> {
                        // A suspect, or known before.
                    }
                }
            }
        }

        private void tellAnswered(RequestFingerprint request, long atMs) {
            routers.forEach(r -> at(nowMs + TOLD_AFTER_MS, () -> r.answered(request, atMs)));
        }

        void crashPart(int oneIn) {
            for (int i = 0; i < engines.size(); i += oneIn) {
                crash(engines.get(i));
            }
        }
    }

    private static Fleet loaded(int routers, long seed) {
        Fleet fleet = new Fleet(routers, seed);
        int perSecond = routers * 12;
        for (long ms = 0; ms < RUN_MS; ms += 1_000) {
            for (int i = 0; i < perSecond; i++) {
                // A fifth of the requests is for one of ten things that many ask for.
                boolean popular = i % 5 == 0;
                RequestFingerprint request = new RequestFingerprint(
                        popular ? 1 : 2, popular ? fleet.random.nextInt(10) : fleet.random.nextLong());
                fleet.at(ms + fleet.random.nextInt(1_000), () -> fleet.ask(request));
            }
        }
        return fleet;
    }

    @Nested
    class OneRequestCrashesEngines {

        /** What is under way when the third engine ends, and until all routers have heard of it, crashes engines too. */
        private static final int UNDER_WAY = 4;

        @Test
        void itCrashesFewMoreThanThreeAtAnySize() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= 5; seed++) {
                    Fleet fleet = loaded(routers, seed);
                    for (long ms = 10_000; ms < RUN_MS; ms += 100) {
                        fleet.at(ms, () -> fleet.ask(CRASHING));
                    }
                    fleet.run();
                    String run = routers + " routers, seed " + seed;
                    assertThat(run, fleet.crashesByRequest, lessThanOrEqualTo(Quarantine.CRASHES + UNDER_WAY));
                    assertThat(run, fleet.quarantined, is(Set.of(CRASHING)));
                }
            }
        }
    }

    @Nested
    class EnginesCrashByThemselves {

        /** Guards against turning proper requests away when a sixth of the engines ends at once, again and again. */
        @Test
        void noRequestIsQuarantined() {
            for (int routers : new int[] {5, 33, 99}) {
                for (long seed = 1; seed <= 5; seed++) {
                    Fleet fleet = loaded(routers, seed);
                    for (long ms = 5_000; ms < RUN_MS; ms += 5_000) {
                        fleet.at(ms, () -> fleet.crashPart(6));
                    }
                    fleet.run();
                    assertThat(routers + " routers, seed " + seed, fleet.quarantined, is(Set.of()));
                    assertThat(fleet.refused, is(0));
                }
            }
        }
    }
}
