package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * One router before one target that ends 50 calls a second (10 places, 200 ms a call), for 30 seconds; the users' calls
 * are late after 400 ms and wait for a second at most.
 */
class RankSharesTest {

    private static final String SERVICE = "writers";
    private static final int SLOTS = 10;
    private static final long CALL_MS = 200;
    private static final long LENGTH_MS = 30_000;

    /** The users call a kind shut out that is served less than a quarter as often as all are. */
    private static final double LEAST_OF_ALL = 0.25;

    private static final int MS_PER_SECOND = 1_000;

    private final SplittableRandom random = new SplittableRandom(1);
    private final Placement placement = Placement.create("here");
    private final Map<Call, TargetState> running = new IdentityHashMap<>();
    private final Map<Call, Long> endsAtMs = new IdentityHashMap<>();
    private final Map<Integer, Integer> asked = new HashMap<>();
    private final Map<Integer, Integer> sent = new HashMap<>();

    private void take(Verdict verdict, long nowMs) {
        if (verdict instanceof Verdict.Send s) {
            running.put(s.call(), s.target());
            endsAtMs.put(s.call(), nowMs + CALL_MS);
            sent.merge(s.call().rank(), 1, Integer::sum);
        }
    }

    private void ask(int rank, boolean cameBack, long nowMs) {
        Call call = Call.of(SERVICE, nowMs)
                .rank(rank, cameBack)
                .times(nowMs + 400, nowMs + 1_000)
                .work(600, 4)
                .build();
        asked.merge(rank, 1, Integer::sum);
        take(placement.submit(call, nowMs), nowMs);
    }

    /** Asks for so many calls of each rank in a second, at random times. */
    private void play(Map<Integer, Integer> callsPerSecond, boolean lastCameBack) {
        placement.targetSeen(new Target("a", 0, SERVICE, "10.0.0.1", 80, "here", SLOTS, true, 0));
        TreeMap<Integer, Integer> perSecond = new TreeMap<>(callsPerSecond);
        int last = perSecond.lastKey();
        for (long nowMs = 0; nowMs < LENGTH_MS; nowMs++) {
            long ms = nowMs;
            endsAtMs.entrySet().removeIf(e -> {
                boolean over = e.getValue() <= ms;
                if (over) {
                    placement.ended(e.getKey(), running.remove(e.getKey()), false, ms);
                }
                return over;
            });
            placement.pump(ms).forEach(v -> take(v, ms));
            perSecond.forEach((rank, n) -> {
                if (random.nextInt(MS_PER_SECOND) < n) {
                    ask(rank, rank == last && lastCameBack, ms);
                }
            });
        }
    }

    private double part(int rank) {
        return (double) sent.getOrDefault(rank, 0) / asked.get(rank);
    }

    private double partOfAll() {
        int all = asked.values().stream().mapToInt(i -> i).sum();
        return (double) sent.values().stream().mapToInt(i -> i).sum() / all;
    }

    @Nested
    class MoreUrgentCallsAloneWantAllPlaces {

        @Test
        void theLastRankIsNotShutOut() {
            play(Map.of(0, 62, 2, 20), false);
            assertThat(part(2), greaterThanOrEqualTo(LEAST_OF_ALL * partOfAll()));
        }

        @Test
        void itIsServedLessOftenThanTheMoreUrgent() {
            play(Map.of(0, 62, 2, 20), false);
            assertThat(part(2), lessThan(part(0)));
        }

        @Test
        void noneOfSeveralIsShutOut() {
            play(Map.of(0, 62, 1, 50, 1_000, 20, 1_002, 10), false);
            for (int rank : asked.keySet()) {
                assertThat("rank " + rank, part(rank), greaterThanOrEqualTo(LEAST_OF_ALL * partOfAll()));
            }
        }

        @Test
        void callersWhoCameBackAreLateAnywayAndGoByTheirOwnRank() {
            play(Map.of(0, 62, 2, 20), true);
            assertThat(part(2), lessThan(0.05));
        }
    }

    @Nested
    class RoomForMost {

        @Test
        void theMoreUrgentAreAllServedWhereOnlyTheLastRankIsTooMuch() {
            play(Map.of(0, 30, 2, 40), false);
            assertThat(part(0), greaterThan(0.99));
            assertThat(part(2), greaterThan(0.4));
        }
    }
}
