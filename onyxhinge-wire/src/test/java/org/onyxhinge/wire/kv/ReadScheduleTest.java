package org.onyxhinge.wire.kv;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ReadScheduleTest {

    private static final long MAX_AGE_MS = 1_000;
    private static final long POLL_MS = 500;
    private static final long PAUSE_MS = 660;

    private final ReadSchedule schedule = ReadSchedule.renewingAfter(MAX_AGE_MS);

    @Test
    void nothingIsReadBeforeTheWatchHasBegun() {
        schedule.want();
        assertThat(schedule.isDue(10_000), is(false));
    }

    /** A watch that was sent at 0, answered at 500 and is sent again at 1160. */
    @Nested
    class WatchInTime {

        @BeforeEach
        void answer() {
            schedule.watchAsked(0, POLL_MS);
            schedule.watchAnswered(POLL_MS, PAUSE_MS, 0);
            schedule.watchAsked(POLL_MS + PAUSE_MS, POLL_MS);
        }

        /** Guards against reads that cost each router of a calm fleet a call a second. */
        @Test
        void nothingIsRead() {
            assertThat(schedule.isDue(POLL_MS + PAUSE_MS + POLL_MS), is(false));
        }

        @Test
        void whoWaitsIsServedOnceTheConfirmationIsOld() {
            schedule.want();
            assertThat(schedule.isDue(MAX_AGE_MS - 1), is(false));
            assertThat(schedule.isDue(MAX_AGE_MS), is(true));
        }

        /** Guards against a watch whose answer never comes and that nothing else makes up for. */
        @Test
        void aLateAnswerLeadsToARead() {
            long dueMs = POLL_MS + PAUSE_MS + POLL_MS + ReadSchedule.SLACK_MS;
            assertThat(schedule.isDue(dueMs - 1), is(false));
            assertThat(schedule.isDue(dueMs), is(true));
        }

        @Test
        void aLateNextPollLeadsToARead() {
            schedule.watchAnswered(2_000, PAUSE_MS, 1_500);
            assertThat(schedule.isDue(2_000 + PAUSE_MS + ReadSchedule.SLACK_MS - 1), is(false));
            assertThat(schedule.isDue(2_000 + PAUSE_MS + ReadSchedule.SLACK_MS), is(true));
        }
    }

    /** A watch that has failed and is asked again and again. */
    @Nested
    class FailedWatch {

        @BeforeEach
        void fail() {
            schedule.watchAnswered(POLL_MS, PAUSE_MS, 0);
            schedule.watchFailed();
            schedule.watchAsked(POLL_MS, POLL_MS);
        }

        @Test
        void leadsToAReadOnceTheConfirmationIsOld() {
            assertThat(schedule.isDue(MAX_AGE_MS - 1), is(false));
            assertThat(schedule.isDue(MAX_AGE_MS), is(true));
        }

        @Test
        void leadsToOneReadAtATimeWhileAnswersComeSoon() {
            schedule.sent(MAX_AGE_MS);
            schedule.want();
            assertThat(schedule.isDue(MAX_AGE_MS), is(false));
            assertThat(schedule.isDue(MAX_AGE_MS + ReadSchedule.UNANSWERED_MS - 1), is(false));
            schedule.succeeded(MAX_AGE_MS);
            assertThat(schedule.isDue(2 * MAX_AGE_MS - 1), is(false));
            assertThat(schedule.isDue(2 * MAX_AGE_MS), is(true));
        }

        /** Guards against one answer that is lost, for which all knowledge waits until a time-out. */
        @Test
        void aReadThatIsNotAnsweredIsFollowedByOthersUpToALimit() {
            long nowMs = MAX_AGE_MS;
            for (int i = 0; i < ReadSchedule.MAX_OUTSTANDING; i++) {
                assertThat("read " + i, schedule.isDue(nowMs), is(true));
                schedule.sent(nowMs);
                nowMs += ReadSchedule.UNANSWERED_MS;
            }
            schedule.want();
            assertThat(schedule.isDue(nowMs + 10 * ReadSchedule.WANTED_INTERVAL_MS), is(false));
        }

        /** Guards against calls that wait in vain, since the next read after several failures is too far away. */
        @Test
        void whoWaitsIsServedInAPauseAfterFailures() {
            long nowMs = MAX_AGE_MS;
            for (int i = 0; i < 4; i++) {
                schedule.sent(nowMs);
                schedule.failed(nowMs, 1);
            }
            schedule.want();
            assertThat(schedule.isDue(nowMs + ReadSchedule.WANTED_INTERVAL_MS - 1), is(false));
            assertThat(schedule.isDue(nowMs + ReadSchedule.WANTED_INTERVAL_MS), is(true));
        }

        @Test
        void endsWithAConfirmationByAnotherWay() {
            schedule.confirmed(MAX_AGE_MS);
            assertThat(schedule.isDue(MAX_AGE_MS), is(false));
        }

        /** Guards against a fleet that repeats its reads at once, and all at the same time. */
        @Test
        void readsThatFailAreRepeatedAfterGrowingPauses() {
            long nowMs = MAX_AGE_MS;
            for (long pauseMs : new long[] {100, 200, 400, 800, 800}) {
                schedule.sent(nowMs);
                schedule.failed(nowMs, 0.5);
                assertThat("after " + pauseMs, schedule.isDue(nowMs + pauseMs / 2), is(false));
                nowMs += pauseMs / 2 + 1;
                assertThat("after " + pauseMs, schedule.isDue(nowMs), is(true));
            }
        }

        @Test
        void endsWithAnAnswer() {
            schedule.watchAnswered(MAX_AGE_MS, PAUSE_MS, POLL_MS);
            schedule.watchAsked(MAX_AGE_MS + PAUSE_MS, POLL_MS);
            assertThat(schedule.isDue(MAX_AGE_MS + PAUSE_MS), is(false));
        }
    }
}
