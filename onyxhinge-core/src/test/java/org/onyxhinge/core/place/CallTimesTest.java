package org.onyxhinge.core.place;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class CallTimesTest {

    @Nested
    class FirstTries {

        @Test
        void areTimedFromArrival() {
            CallTimes t = CallTimes.of(1_000, 0, 400, 12_000);
            assertThat(t.isRetry(), is(false));
            assertThat(t.firstByteDeadlineMs(), is(1_400L));
            assertThat(t.responseDeadlineMs(), is(13_000L));
        }

        @Test
        void withShortConnectDelayAreNotRetries() {
            assertThat(CallTimes.of(1_000, 3, 400, 12_000).isRetry(), is(false));
        }

        @Test
        void areNotQueuedBeyondTheirDeadline() {
            CallTimes t = CallTimes.of(1_000, 0, 400, 500);
            assertThat(t.queueDeadlineMs(), is(1_500 - CallTimes.MIN_REMAINING_MS));
        }
    }

    @Nested
    class ReadLate {

        private final CallTimes times = CallTimes.of(3_000, 1_500, 0, 400, 10_000);

        @Test
        void haveTheTimeThatIsLeft() {
            assertThat(times.responseDeadlineMs(), is(11_500L));
            assertThat(times.firstByteDeadlineMs(), is(1_900L));
        }

        /** Guards against a router that was late, and has room, refusing as if it were full. */
        @Test
        void mayBeQueuedAsLongAsOthers() {
            assertThat(
                    times.queueDeadlineMs(),
                    is(CallTimes.of(3_000, 0, 400, 10_000).queueDeadlineMs()));
        }

        @Test
        void areNoRetries() {
            assertThat(times.isRetry(), is(false));
        }

        /** Guards against a retry whose first attempt came before it lay unread being timed from its reading. */
        @Test
        void retriesAreTimedFromTheEarlierOfBoth() {
            assertThat(CallTimes.of(3_000, 500, 2_000, 400, 8_000).firstByteDeadlineMs(), is(1_400L));
        }
    }

    @Nested
    class Retries {

        @Test
        void areTimedFromTheFirstAttempt() {
            CallTimes t = CallTimes.of(5_000, 4_000, 400, 8_000);
            assertThat(t.isRetry(), is(true));
            assertThat(t.firstByteDeadlineMs(), is(1_400L));
        }
    }

    @Nested
    class ResumedStreams {

        private final CallTimes times = CallTimes.of(0, 0, 400, 3_000);

        /** Guards against a refusal while the caller would still take the rest of what it has in part. */
        @Test
        void waitUntilTheirCallerWouldGiveUp() {
            assertThat(times.resumedQueueDeadlineMs(0, 400, 0), is(1_300L));
            assertThat(times.resumedQueueDeadlineMs(0, 400, 400), is(2_500L));
            assertThat(times.resumedQueueDeadlineMs(0, 800, 0), is(2_500L));
        }

        @Test
        void doNotWaitPastTheirDeadline() {
            assertThat(times.resumedQueueDeadlineMs(0, 4_000, 0), is(3_000 - CallTimes.MIN_REMAINING_MS));
        }
    }

    @Nested
    class Deadlines {

        private final CallerDeadlines deadlines = CallerDeadlines.create();

        private void usual(int n) {
            for (int i = 0; i < n; i++) {
                deadlines.waitedBeforeMs("outlook", 12_000 - i % 2 * 3);
            }
        }

        @Test
        void revealElapsedTimeOfRetries() {
            usual(40);
            assertThat(deadlines.waitedBeforeMs("outlook", 7_900), is(4_100L));
            assertThat(deadlines.waitedBeforeMs("outlook", 12_000), is(0L));
        }

        @Test
        void withLargeSpreadRevealOnlyLongAbsences() {
            for (int i = 0; i < 128; i++) {
                // Spread evenly over the last 15 %, in no particular order.
                long deadlineMs = 12_000 - i * 37 % 100 * 18;
                deadlines.recordFirstTry("outlook", deadlineMs);
                deadlines.waitedBeforeMs("outlook", deadlineMs);
            }
            assertThat(deadlines.waitedBeforeMs("outlook", 10_300), is(0L));
            assertThat(deadlines.waitedBeforeMs("outlook", 7_900), greaterThan(3_000L));
        }

        @Test
        void withoutSpreadRevealAnyAbsence() {
            for (int i = 0; i < 40; i++) {
                deadlines.recordFirstTry("outlook", 12_000 - i % 2 * 3);
                deadlines.waitedBeforeMs("outlook", 12_000 - i % 2 * 3);
            }
            assertThat(deadlines.waitedBeforeMs("outlook", 11_700), is(300L));
        }

        @Test
        void areLearnedPerRoute() {
            usual(40);
            assertThat(deadlines.waitedBeforeMs("summary", 3_000), is(0L));
        }

        @Test
        void ofAFewLongOutliersAreIgnored() {
            for (int i = 0; i < 200; i++) {
                deadlines.waitedBeforeMs("outlook", i % 20 == 0 ? 30_000 : 12_000);
            }
            assertThat(deadlines.waitedBeforeMs("outlook", 12_000), is(0L));
        }

        @Test
        void ofManyRetriesDoNotMoveTheUsualValue() {
            for (int i = 0; i < 200; i++) {
                deadlines.waitedBeforeMs("outlook", i % 2 == 0 ? 12_000 : 8_000 - i);
            }
            assertThat(deadlines.waitedBeforeMs("outlook", 11_000), is(1_000L));
        }

        @Test
        void adaptToAChangedDeadline() {
            usual(200);
            for (int i = 0; i < 100; i++) {
                deadlines.waitedBeforeMs("outlook", 6_000);
            }
            assertThat(deadlines.waitedBeforeMs("outlook", 6_000), lessThanOrEqualTo(0L));
        }
    }
}
