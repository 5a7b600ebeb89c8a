package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

/**
 * Load pattern: routers and targets have crashed, and the streams of a version with two targets left are taken up at six
 * routers within a fraction of a second, while new calls come as before. A stream can only go on at the two targets, a
 * new call begins at any of the thirteen. The part of the streams that go on must be at least half of the part of the new
 * calls that begin.
 */
class BurstOfResumedStreamsTest {

    private static final String SERVICE = "writers";
    private static final int ROUTERS = 6;
    private static final int TARGETS = 13;
    private static final int TARGETS_OF_THE_VERSION = 2;
    private static final int SLOTS = 11;
    private static final int MEAN_CALL_MS = 1_000;
    private static final int BURST_AT_MS = 2_000;
    private static final int BURST_INTERVAL_MS = 4;
    private static final int END_MS = 6_000;
    private static final int UPDATE_MS = 20;
    private static final long TARGET_LATENCY_MS = 400;
    private static final long GAP_TARGET_MS = 400;
    private static final long CALLER_DEADLINE_MS = 12_000;

    private final List<Placement> routers = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private final Share begun = new Share();
    private final Share resumed = new Share();
    private Random random;

    private record Running(int router, Verdict.Send send, long endMs) {}

    private record Reservation(int router, String target) {}

    /** Calls of one kind that arrived after the burst began, and how many of them were sent. */
    private static final class Share {
        private int arrived;
        private int sent;

        private double sentFraction() {
            return (double) sent / arrived;
        }
    }

    private static String id(int router) {
        return "r" + router;
    }

    private void startRouters() {
        for (int i = 0; i < ROUTERS; i++) {
            Placement p = Placement.create(
                    id(i),
                    "here",
                    PlacementSettings.defaults(),
                    (peer, target) -> reservations.add(new Reservation(Integer.parseInt(peer.substring(1)), target)));
            for (int j = 0; j < ROUTERS; j++) {
                if (j != i) {
                    p.routerSeen(id(j), "here");
                    p.peerUses(id(j), Map.of());
                }
            }
            for (int t = 0; t < TARGETS; t++) {
                String version = t < TARGETS_OF_THE_VERSION ? "v1" : "v2";
                p.targetSeen(new Target("t" + t, 0, SERVICE, version, "10.0.0.1", 80, "here", SLOTS, true, 0));
            }
            routers.add(p);
        }
    }

    private static Call call(int rank, Optional<String> version, long nowMs) {
        CallTimes times = CallTimes.of(nowMs, 0, TARGET_LATENCY_MS, CALLER_DEADLINE_MS);
        long queueDeadlineMs = version.isPresent()
                ? times.resumedQueueDeadlineMs(nowMs, TARGET_LATENCY_MS, GAP_TARGET_MS)
                : times.queueDeadlineMs();
        return Call.of(SERVICE, nowMs)
                .rank(rank, false)
                .times(times.firstByteDeadlineMs(), queueDeadlineMs)
                .responseDeadline(times.responseDeadlineMs())
                .work(1_500, version.isPresent() ? 20 : 40)
                .version(version)
                .build();
    }

    private void sendUpdates(long nowMs) {
        for (int i = 0; i < ROUTERS; i++) {
            PeerUpdates news = routers.get(i).news(nowMs);
            for (int j = 0; j < ROUTERS; j++) {
                if (j != i) {
                    PeerUpdate update = news.forRouter(id(j));
                    routers.get(j).peerUses(id(i), update.uses());
                    routers.get(j).peerWaiting(id(i), update.waiting());
                    routers.get(j).peerRates(id(i), update.rates());
                }
            }
        }
    }

    private void submit(int rank, Optional<String> version, long nowMs) {
        int router = random.nextInt(ROUTERS);
        if (nowMs >= BURST_AT_MS) {
            (version.isPresent() ? resumed : begun).arrived++;
        }
        decided(router, routers.get(router).submit(call(rank, version, nowMs), nowMs), nowMs);
    }

    private void decided(int router, Verdict verdict, long nowMs) {
        if (verdict instanceof Verdict.Send s) {
            running.add(new Running(router, s, nowMs + MEAN_CALL_MS / 2 + random.nextInt(MEAN_CALL_MS)));
            boolean counted = s.call().firstByteDeadlineMs() - TARGET_LATENCY_MS >= BURST_AT_MS;
            if (counted) {
                (s.call().version().isPresent() ? resumed : begun).sent++;
            }
        }
    }

    private void step(long nowMs) {
        running.removeIf(r -> {
            boolean over = r.endMs() <= nowMs;
            if (over) {
                routers.get(r.router()).ended(r.send().call(), r.send().target(), true, nowMs);
            }
            return over;
        });
        if (nowMs % UPDATE_MS == 0) {
            sendUpdates(nowMs);
        }
        reservations.forEach(r -> routers.get(r.router()).slotReserved(r.target(), nowMs));
        reservations.clear();
        for (int i = 0; i < ROUTERS; i++) {
            for (Verdict v : routers.get(i).pump(nowMs)) {
                decided(i, v, nowMs);
            }
        }
    }

    /** Guards against streams that are refused, or wait in vain, where few targets of their version are left. */
    @ParameterizedTest
    @CsvSource({"0.7, 40, 1", "0.7, 70, 2", "0.95, 40, 3", "0.95, 70, 4", "1.2, 40, 5", "1.2, 70, 6"})
    void goOnAtLeastHalfAsOftenAsNewCallsBegin(double load, int streams, long seed) {
        random = new Random(seed);
        startRouters();
        double newCallsPerMs = load * TARGETS * SLOTS / MEAN_CALL_MS;
        double due = 0;
        for (long nowMs = 0; nowMs < END_MS; nowMs++) {
            step(nowMs);
            for (due += newCallsPerMs; due >= 1; due--) {
                submit(random.nextInt(3), Optional.empty(), nowMs);
            }
            boolean inBurst = nowMs >= BURST_AT_MS && resumed.arrived < streams;
            if (inBurst && nowMs % BURST_INTERVAL_MS == 0) {
                submit(0, Optional.of("v1"), nowMs);
            }
        }
        System.out.printf(
                "resumed streams: load %.2f, %d streams: %.3f go on, %.3f of the new calls begin%n",
                load, streams, resumed.sentFraction(), begun.sentFraction());
        assertThat(resumed.sentFraction(), greaterThanOrEqualTo(begun.sentFraction() / 2));
    }
}
