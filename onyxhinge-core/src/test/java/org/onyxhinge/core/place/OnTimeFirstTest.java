package org.onyxhinge.core.place;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/** Load pattern: an overload in which calls of the urgent rank have waited until they are late. */
class OnTimeFirstTest {

    private static final String SERVICE = "writers";
    private static final int SLOTS = 4;
    private static final long HOLD_MS = 1_000;
    private static final long NOW_MS = 10_000;

    private static Placement placement(boolean onTimeFirst) {
        PlacementSettings settings = onTimeFirst
                ? PlacementSettings.defaults().with(Set.of(Mechanism.ON_TIME_FIRST))
                : PlacementSettings.defaults();
        Placement placement = Placement.create("r1", "here", settings, (peer, target) -> {});
        placement.targetSeen(new Target("a", 0, SERVICE, "", "10.0.0.1", 1, "here", SLOTS, true, 0));
        return placement;
    }

    /** Fills all slots, so that further calls queue; returns what runs. */
    private static List<Verdict.Send> fill(Placement placement) {
        return IntStream.range(0, SLOTS)
                .mapToObj(i -> (Verdict.Send) placement.submit(call(0, NOW_MS - HOLD_MS, 0), NOW_MS - HOLD_MS))
                .toList();
    }

    /** A call whose first byte is due {@code dueInMs} from now. */
    private static Call call(int rank, long nowMs, long dueInMs) {
        return Call.of(SERVICE, nowMs)
                .rank(rank, false)
                .times(nowMs + dueInMs, nowMs + 60_000)
                .work(100, 2)
                .build();
    }

    private static Call nextSent(Placement placement, Verdict.Send running) {
        placement.ended(running.call(), running.target(), true, NOW_MS);
        return placement.pump(NOW_MS).getFirst().call();
    }

    /** Submits a late call of the urgent rank that would wait long after the arrivals of the other rank. */
    private static Verdict submitLateCallAfterArrivals(Placement placement) {
        for (long ms = NOW_MS - 200; ms < NOW_MS; ms += 10) {
            placement.submit(call(1, ms, 5_000), ms);
        }
        Call late = Call.of(SERVICE, NOW_MS)
                .rank(0, true)
                .times(NOW_MS - 1, NOW_MS + 2_000)
                .work(100, 2)
                .build();
        return placement.submit(late, NOW_MS);
    }

    @Nested
    class SwitchedOn {

        private final Placement placement = placement(true);
        private final List<Verdict.Send> running = fill(placement);

        /** Guards against slots that late calls take from calls that would be on time. */
        @Test
        void callThatCanBeOnTimePrecedesALateOneOfAMoreUrgentRank() {
            Call late = call(0, NOW_MS, -1);
            Call onTime = call(2, NOW_MS, 500);
            placement.submit(late, NOW_MS);
            placement.submit(onTime, NOW_MS);
            assertThat(nextSent(placement, running.get(0)), is(onTime));
            assertThat(nextSent(placement, running.get(1)), is(late));
        }

        /** Guards against an order of ranks that is lost among the calls that can be on time. */
        @Test
        void ranksDecideAmongCallsThatCanBeOnTime() {
            Call lessUrgent = call(2, NOW_MS, 500);
            Call urgent = call(0, NOW_MS, 500);
            placement.submit(lessUrgent, NOW_MS);
            placement.submit(urgent, NOW_MS);
            assertThat(nextSent(placement, running.get(0)), is(urgent));
        }

        /** Guards against callers that wait in vain, since every arrival overtakes a late call. */
        @Test
        void callThatWillBeLateIsRefusedOnArrivalWhileOthersKeepArriving() {
            assertThat(submitLateCallAfterArrivals(placement), instanceOf(Verdict.Refuse.class));
        }
    }

    @Nested
    class SwitchedOff {

        /** Guards against deployments that did not ask for it being served in another order. */
        @Test
        void ranksDecideFirst() {
            Placement placement = placement(false);
            List<Verdict.Send> running = fill(placement);
            Call late = call(0, NOW_MS, -1);
            placement.submit(call(2, NOW_MS, 500), NOW_MS);
            placement.submit(late, NOW_MS);
            assertThat(nextSent(placement, running.get(0)), is(late));
        }

        @Test
        void lateCallWaitsForItsTurn() {
            Placement placement = placement(false);
            fill(placement);
            assertThat(submitLateCallAfterArrivals(placement), instanceOf(Verdict.Wait.class));
        }
    }
}
