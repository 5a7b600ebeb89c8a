package org.onyxhinge.core.place;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.onyxhinge.core.limit.RetryBudget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Guards against what is learned of a route or service and kept after it has gone. */
class ForgottenNamesTest {

    private static final int VERSIONS = 1_000;
    private static final String KEPT = "kept";

    @Test
    void deadlinesOfRoutesThatAreGoneAreForgotten() {
        CallerDeadlines deadlines = CallerDeadlines.create();
        for (int i = 0; i < VERSIONS; i++) {
            deadlines.waitedBeforeMs(KEPT, 4_000, 0);
            deadlines.waitedBeforeMs("route-" + i, 1_000, 0);
            deadlines.retain(Set.of(KEPT));
        }
        assertThat(deadlines.size(), is(1));
        assertThat("still known", deadlines.waitedBeforeMs(KEPT, 1_000), greaterThan(2_000L));
    }

    @Test
    void responseLengthsOfRoutesThatAreGoneAreForgotten() {
        ResponseLengthEstimator lengths = new ResponseLengthEstimator();
        for (int i = 0; i < VERSIONS; i++) {
            lengths.ended(KEPT, 500, 0);
            lengths.ended("route-" + i, 1, 0);
            lengths.retain(Set.of(KEPT));
        }
        assertThat(lengths.size(), is(1));
        assertThat("still known", lengths.expectedEvents(KEPT, 0), greaterThan(400L));
    }

    @Test
    void requestsOfServicesThatAreGoneAreForgotten() {
        RetryBudget budget = RetryBudget.create(1, 0, 10_000);
        for (int i = 0; i < VERSIONS; i++) {
            budget.countRequest(KEPT, 0);
            budget.countRequest("service-" + i, 0);
            budget.retain(Set.of(KEPT));
        }
        assertThat(budget.size(), is(1));
        assertThat("still known", budget.tryRetry(KEPT, 1, 0), is(true));
    }
}
