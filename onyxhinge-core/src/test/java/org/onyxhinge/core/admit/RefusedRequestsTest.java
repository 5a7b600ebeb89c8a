package org.onyxhinge.core.admit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RefusedRequestsTest {

    private static final int KEY = 7;
    private static final long ARRIVED_AT_MS = 1_000;
    private static final long DEADLINE_MS = 11_000;
    private static final long RETRY_AT_MS = 1_800;
    private static final Refusal REFUSAL = new Refusal(KEY, ARRIVED_AT_MS, DEADLINE_MS, RETRY_AT_MS);

    private final RefusedRequests refused = RefusedRequests.create();

    @Nested
    class OneCaller {

        /** Guards against a retry that is served before first attempts although it is late in any case. */
        @Test
        void retryKeepsTheArrivalOfItsFirstAttempt() {
            refused.add(REFUSAL);
            Optional<Refusal> retryOf = refused.takeRetryOf(KEY, DEADLINE_MS + 6, RETRY_AT_MS);
            assertThat(retryOf.map(Refusal::firstArrivalMs), is(Optional.of(ARRIVED_AT_MS)));
        }

        /** Guards against a first attempt that is taken for a retry because another caller requests the same. */
        @Test
        void sameRequestWithAnotherDeadlineIsAFirstAttempt() {
            refused.add(REFUSAL);
            assertThat(refused.takeRetryOf(KEY, DEADLINE_MS + 300, RETRY_AT_MS), is(Optional.empty()));
            assertThat(refused.takeRetryOf(KEY, DEADLINE_MS, RETRY_AT_MS).isPresent(), is(true));
        }

        /** Guards against two requests that are recognized by one refusal. */
        @Test
        void refusalIsTakenOnce() {
            refused.add(REFUSAL);
            refused.takeRetryOf(KEY, DEADLINE_MS, RETRY_AT_MS);
            assertThat(refused.takeRetryOf(KEY, DEADLINE_MS, RETRY_AT_MS), is(Optional.empty()));
        }
    }

    /** Load pattern: an overload of a thousand refusals per second in a data centre, with unlike deadlines. */
    @Nested
    class SustainedOverload {

        private static final int REFUSALS = 10_000;
        private static final long LONGEST_RETRY_MS = 5_000;
        private static final long LONGEST_DEADLINE_MS = 15_000;

        private final Random random = new Random(5);
        private final List<Refusal> told = new ArrayList<>();

        /** Guards against retries that are mistaken for first attempts where callers' deadlines differ by 15 %. */
        @Test
        void everyRetryIsRecognized() {
            for (int i = 0; i < REFUSALS; i++) {
                long deadlineMs = i + LONGEST_DEADLINE_MS - random.nextInt((int) (0.15 * LONGEST_DEADLINE_MS));
                told.add(new Refusal(random.nextInt(), i, deadlineMs, i + 300 + random.nextInt(700)));
            }
            told.forEach(refused::add);
            long recognized = told.stream()
                    .filter(r -> refused.takeRetryOf(r.key(), r.deadlineMs() + random.nextInt(20), r.retryAtMs())
                            .filter(found -> found.firstArrivalMs() == r.firstArrivalMs())
                            .isPresent())
                    .count();
            assertThat((double) recognized / REFUSALS, is(greaterThanOrEqualTo(0.999)));
        }

        /** Guards against a record that grows with the length of the overload. */
        @Test
        void recordIsBounded() {
            for (int i = 0; i < 20 * REFUSALS; i++) {
                refused.add(new Refusal(i, i, i + LONGEST_DEADLINE_MS, i + LONGEST_RETRY_MS));
            }
            assertThat(refused.size(), is(lessThanOrEqualTo(2 * REFUSALS)));
        }
    }
}
