package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class IntakeQueueTest {

    private final IntakeQueue<String> queue = IntakeQueue.create();

    @Nested
    class Order {

        @Test
        void ordersByRankThenArrival() {
            queue.add("late-1", 2, 100);
            queue.add("urgent-1", 0, 100);
            queue.add("late-2", 2, 100);
            queue.add("urgent-2", 0, 100);
            List<String> out = new ArrayList<>();
            while (!queue.isEmpty()) {
                queue.next(1).ifPresent(out::add);
            }
            assertThat(out, contains("urgent-1", "urgent-2", "late-1", "late-2"));
            assertThat(queue.next(2), is(Optional.empty()));
        }

        @Test
        void removesExpiredCalls() {
            queue.add("short", 0, 50);
            queue.add("long", 0, 500);
            assertThat(queue.expired(49), is(empty()));
            assertThat(queue.expired(50), contains("short"));
            assertThat(queue.size(), is(1));
        }
    }

    @Nested
    class Wait {

        @Test
        void isZeroOnAnIdleRouter() {
            queue.add("a", 0, 100);
            queue.next(1);
            queue.add("b", 0, 10_000);
            queue.next(9_000);
            queue.add("c", 0, 10_000);
            assertThat(queue.expectedWaitMs(5), is(0L));
        }

        @Test
        void isTheTimeToDequeueTheCallsAhead() {
            for (int i = 0; i < 60; i++) {
                queue.add("c" + i, i % 3, 10_000);
            }
            for (int i = 0; i < 30; i++) {
                queue.next(i * 10L);
            }
            // 30 calls are left, 10 of rank 1 and 20 of rank 2, at 10 ms each.
            assertThat(queue.expectedWaitMs(0), is(0L));
            assertThat(queue.expectedWaitMs(1), greaterThan(80L));
            assertThat(queue.expectedWaitMs(1), lessThan(101L));
            assertThat(queue.expectedWaitMs(2), greaterThan(270L));
        }
    }

    /**
     * Guards against late calls of the first rank after all routers have restarted, when a router that processes calls
     * in arrival order makes all of them late. Simulates one router of six: 45 calls per second as in the users'
     * tables, plus half as many again that came while no router listened. A call takes 25 ms of a core, ten times its
     * later cost, and the router has 0.57 of a core. One call in nine is of the first rank.
     */
    @Nested
    class AfterRestart {

        private static final long CALL_MS = 44;
        private static final long TARGET_LATENCY_MS = 600;
        private static final int CALLS_PER_FIRST_RANK_CALL = 9;

        private double onTimeFractionOfFirstRank(boolean ranked, long seed) {
            Random random = new Random(seed);
            IntakeQueue<long[]> calls = IntakeQueue.create();
            int asked = 0;
            int onTime = 0;
            long busyUntilMs = 0;
            for (long nowMs = 0; nowMs < 2_000; nowMs++) {
                double perMs = nowMs < 500 ? 0.09 : 0.045;
                if (random.nextDouble() < perMs) {
                    int rank = random.nextInt(CALLS_PER_FIRST_RANK_CALL) == 0 ? 0 : 1;
                    asked += rank == 0 ? 1 : 0;
                    calls.add(new long[] {rank, nowMs}, ranked ? rank : 0, nowMs + 1_200);
                }
                calls.expired(nowMs);
                if (nowMs >= busyUntilMs) {
                    Optional<long[]> next = calls.next(nowMs);
                    busyUntilMs = next.isPresent() ? nowMs + CALL_MS : busyUntilMs;
                    boolean first = next.isPresent() && next.get()[0] == 0;
                    onTime += first && busyUntilMs - next.get()[1] <= TARGET_LATENCY_MS ? 1 : 0;
                }
            }
            return (double) onTime / asked;
        }

        @Test
        void firstRankIsOnTimeAndWouldNotBeInArrivalOrder() {
            double ranked = 0;
            double byArrival = 0;
            int seeds = 20;
            for (int seed = 1; seed <= seeds; seed++) {
                ranked += onTimeFractionOfFirstRank(true, seed) / seeds;
                byArrival += onTimeFractionOfFirstRank(false, seed) / seeds;
            }
            assertThat(ranked, greaterThan(0.95));
            assertThat(byArrival, lessThan(0.6));
        }
    }
}
