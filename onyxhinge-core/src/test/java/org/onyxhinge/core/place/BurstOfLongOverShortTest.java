package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Load pattern "burst of long over short": calls of three ranks, 1.8 times as many as the slots can carry. */
class BurstOfLongOverShortTest {

    private static final String SERVICE = "writers";
    private static final int TARGETS = 10;
    private static final int SLOTS = 10;
    private static final double LOAD = 1.8;
    /** Calls per second and mean time in the slot, by rank. */
    private static final Map<Integer, long[]> KINDS =
            new TreeMap<>(Map.of(0, new long[] {65, 1_350}, 1, new long[] {123, 1_040}, 2, new long[] {157, 150}));

    private final SplittableRandom random = new SplittableRandom(1);
    private final List<Placement> routers = new ArrayList<>();
    private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endsAtMs));
    private final Map<Integer, Integer> asked = new TreeMap<>();
    private final Map<Integer, Integer> onTime = new TreeMap<>();
    private long slotMs;
    private long lastRankMs;

    private record Running(Placement router, Verdict.Send send, long endsAtMs) {}

    private void note(Placement router, Verdict verdict, long nowMs) {
        if (verdict instanceof Verdict.Send s) {
            int rank = s.call().rank();
            long holdMs = (long) (KINDS.get(rank)[1] * (0.5 + random.nextDouble()));
            running.add(new Running(router, s, nowMs + holdMs));
            onTime.merge(rank, nowMs <= s.call().firstByteDeadlineMs() ? 1 : 0, Integer::sum);
            slotMs += holdMs;
            lastRankMs += rank == 2 ? holdMs : 0;
        }
    }

    private double share(int rank) {
        return (double) onTime.get(rank) / asked.get(rank);
    }

    private void run(int count, Set<Mechanism> mechanisms) {
        for (int i = 0; i < count; i++) {
            Placement p = Placement.create(
                    "r" + i, "here", PlacementSettings.defaults().with(mechanisms), (peer, target) -> {});
            IntStream.range(0, TARGETS)
                    .forEach(t -> p.targetSeen(
                            new Target("t" + t, 0, SERVICE, "", "10.0.0.1", t + 1, "here", SLOTS, true, 0)));
            routers.add(p);
        }
        double offered = KINDS.values().stream().mapToLong(k -> k[0] * k[1]).sum() / 1_000.0;
        double scale = LOAD * TARGETS * SLOTS / offered;
        for (long ms = 0; ms < 30_000; ms++) {
            if (ms == 10_000) {
                asked.clear();
                onTime.clear();
                slotMs = 0;
                lastRankMs = 0;
            }
            while (!running.isEmpty() && running.peek().endsAtMs() <= ms) {
                Running over = running.poll();
                over.router().ended(over.send().call(), over.send().target(), false, ms);
            }
            if (ms % 20 == 0) {
                exchangeUpdates(ms);
            }
            for (Placement p : routers) {
                for (Verdict v : p.pump(ms)) {
                    note(p, v, ms);
                }
            }
            for (Map.Entry<Integer, long[]> kind : KINDS.entrySet()) {
                if (random.nextDouble() < scale * kind.getValue()[0] / 1_000) {
                    asked.merge(kind.getKey(), 1, Integer::sum);
                    Placement p = routers.get(random.nextInt(count));
                    Call call = Call.of(SERVICE, ms)
                            .rank(kind.getKey(), false)
                            .times(ms + 410, ms + 1_010)
                            .work(600, kind.getValue()[1] / 30)
                            .build();
                    note(p, p.submit(call, ms), ms);
                }
            }
        }
    }

    private void exchangeUpdates(long ms) {
        for (int i = 0; i < routers.size(); i++) {
            PeerUpdates news = routers.get(i).news(ms);
            for (int j = 0; j < routers.size(); j++) {
                if (i != j) {
                    PeerUpdate update = news.forRouter("r" + j);
                    routers.get(j).peerUses("r" + i, update.uses());
                    routers.get(j).peerWaiting("r" + i, update.waiting());
                    routers.get(j).peerRates("r" + i, update.rates());
                }
            }
        }
    }

    /** Guards against short calls that are refused twice as often as the long ones, though they need hardly any time. */
    @ParameterizedTest
    @ValueSource(ints = {1, 25})
    void shortCallsAreServedAboutAsOftenAsTheRankAbove(int count) {
        run(count, Set.of(Mechanism.SHORT_CALL_SHARES));
        assertThat(share(2) / share(1), both(greaterThan(0.85)).and(lessThanOrEqualTo(1.0)));
        assertThat(share(1), lessThan(share(0)));
        assertThat((double) lastRankMs / slotMs, lessThan(0.1));
    }

    /** Guards against a change of deployments that did not switch it on: counts of the version without it. */
    @Test
    void switchedOffServesAsManyAsBefore() {
        run(1, Set.of());
        assertThat(onTime, is(Map.of(0, 977, 1, 582, 2, 456)));
    }
}
