package org.onyxhinge.core.limit;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/**
 * Load pattern "crowd of repeaters": 1.5 times the load that the slots can carry; 30 % of the callers retry three times,
 * at once, the others once at the time they are told.
 */
class CrowdOfRepeatersTest {

    private static final String SERVICE = "writers";
    private static final long CALL_MS = 200;
    private static final long DEADLINE_MS = 10_000;

    private final SplittableRandom random = new SplittableRandom(1);
    private final Placement placement = Placement.create("here");
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    private final Map<Call, Caller> callers = new IdentityHashMap<>();
    private final int[] asked = new int[2];
    private final int[] served = new int[2];

    private record Event(long atMs, Runnable run) {}

    /** One caller: its request's key, whether it retries at once, and its retries so far. */
    private record Caller(long key, boolean repeats, long firstMs, int retries) {}

    private void submit(RepeatLimits limits, Caller c, long nowMs) {
        boolean repeat = limits != null && limits.arrived(c.key(), c.firstMs() + DEADLINE_MS, nowMs) > 0;
        Call call = Call.of(SERVICE, nowMs)
                .rank(0, c.retries() > 0)
                .repeat(repeat)
                .times(nowMs + 400, nowMs + 1_000)
                .work(600, 4)
                .build();
        callers.put(call, c);
        decided(limits, placement.submit(call, nowMs), nowMs);
    }

    private void decided(RepeatLimits limits, Verdict verdict, long nowMs) {
        Caller c = callers.get(verdict.call());
        int kind = c.repeats() ? 1 : 0;
        if (verdict instanceof Verdict.Send s) {
            served[kind]++;
            events.add(new Event(nowMs + CALL_MS, () -> placement.ended(s.call(), s.target(), false, nowMs + CALL_MS)));
        } else if (verdict instanceof Verdict.Refuse r && c.retries() < (c.repeats() ? 3 : 1)) {
            long leftMs = c.firstMs() + DEADLINE_MS - nowMs;
            if (limits != null) {
                limits.refused(c.key(), r.retryAfterMs(), nowMs + leftMs, nowMs);
            }
            long atMs = nowMs + (c.repeats() ? 20 : Math.min(r.retryAfterMs(), leftMs / 3));
            Caller next = new Caller(c.key(), c.repeats(), c.firstMs(), c.retries() + 1);
            events.add(new Event(atMs, () -> submit(limits, next, atMs)));
        }
    }

    /** Returns the fraction of the callers that wait as told who are served. */
    private double run(RepeatLimits limits) {
        placement.targetSeen(new Target("a", 0, SERVICE, "", "10.0.0.1", 80, "here", 10, true, 0));
        for (long ms = 0; ms < 60_000; ms++) {
            while (!events.isEmpty() && events.peek().atMs() <= ms) {
                events.poll().run().run();
            }
            for (Verdict v : placement.pump(ms)) {
                decided(limits, v, ms);
            }
            if (random.nextInt(1_000) < 75) {
                boolean repeats = random.nextInt(10) < 3;
                asked[repeats ? 1 : 0]++;
                submit(limits, new Caller(ms, repeats, ms, 0), ms);
            }
        }
        return (double) served[0] / asked[0];
    }

    /** Guards against callers that wait being refused because others retry at once and often. */
    @Test
    void callersThatWaitAreServedMoreOften() {
        assertThat(run(RepeatLimits.create()), greaterThan(0.6));
        assertThat("repeaters are not starved", (double) served[1] / asked[1], greaterThan(0.25));
    }

    /** Guards against a change of deployments that did not switch it on. */
    @Test
    void switchedOffRepeatersAreServedMoreOften() {
        assertThat(run(null), lessThan(0.6));
    }
}
