package org.onyxhinge.core.place;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** One target with one slot, which is taken; calls that arrive then can wait for 1 ms only and are refused. */
class ScheduledRetriesTest {

    private static final long NOW_MS = 10_000;

    private static Placement placement(PlacementSettings settings) {
        Placement placement = Placement.create("r1", "here", settings, (peer, target) -> {});
        placement.targetSeen(new Target("a", 0, "s", "", "10.0.0.1", 1, "here", 1, true, 0));
        placement.submit(call(9_000, false), NOW_MS);
        return placement;
    }

    private static Call call(long deadlineInMs, boolean retry) {
        return Call.of("s", NOW_MS)
                .rank(0, retry)
                .times(NOW_MS + 500, NOW_MS + 1)
                .responseDeadline(NOW_MS + deadlineInMs)
                .work(100, 2)
                .build();
    }

    @Nested
    class SwitchedOn {

        private final Placement placement =
                placement(PlacementSettings.defaults().with(Set.of(Mechanism.PLANNED_RETURNS)));

        private Verdict.Refuse refused(long deadlineInMs, boolean retry) {
            return (Verdict.Refuse) placement.submit(call(deadlineInMs, retry), NOW_MS);
        }

        /** Guards against promises that the caller does not honour. */
        @Test
        void noPromiseIsBeyondAThirdOfTheRemainingTime() {
            for (long deadlineMs = 30; deadlineMs < 15_000; deadlineMs += 30) {
                Verdict.Refuse refusal = refused(deadlineMs, false);
                assertThat(refusal.scheduled(), is(true));
                assertThat(refusal.retryAfterMs(), lessThanOrEqualTo(Math.min(4_000, deadlineMs / 3)));
            }
        }

        /** Guards against time slots that are kept for callers that will not come. */
        @Test
        void callerThatDoesNotRetryAgainIsNotCounted() {
            refused(9_000, true);
            refused(9_000, false);
            assertThat(placement.retryLedger().orElseThrow().ownPromises(NOW_MS).get("s"), is(1));
        }
    }

    @Nested
    class SwitchedOff {

        /** Guards against other delays in deployments that did not ask for scheduled retries. */
        @Test
        void delayIsTheExpectedWaitWithinItsBounds() {
            Placement placement = placement(PlacementSettings.defaults());
            for (long deadlineMs = 30; deadlineMs < 15_000; deadlineMs += 30) {
                Verdict.Refuse refusal = (Verdict.Refuse) placement.submit(call(deadlineMs, false), NOW_MS);
                long waitMs = refusal.estimate().orElseThrow().waitMs();
                assertThat(refusal.scheduled(), is(false));
                assertThat(refusal.retryAfterMs(), is(Math.max(300, Math.min(4_000, waitMs))));
            }
            assertThat(placement.retryLedger().isPresent(), is(false));
        }
    }
}
