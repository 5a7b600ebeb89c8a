package org.onyxhinge.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** When every answer of a service fails, retries over all routers stay within the shared budget in any window. */
class RetryBudgetProperties {

    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 54;
    private static final long WINDOW_MS = 10_000;

    @Property(tries = 50, seed = "17")
    void retriesStayWithinTheBudgetInAnyWindow(
            @ForAll @IntRange(min = 1, max = 31) int routers,
            @ForAll @IntRange(min = 1, max = 40) int requestsPerSecond,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            budgets.add(RetryBudget.create(RATIO, ALLOWANCE, WINDOW_MS));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long nowMs = 0; nowMs < 40_000; nowMs += 10) {
            for (RetryBudget b : budgets) {
                if (random.nextInt(100) < requestsPerSecond) {
                    b.countRequest("s", nowMs);
                    requests.add(nowMs);
                    if (b.tryRetry("s", routers, nowMs)) {
                        retries.add(nowMs);
                    }
                }
            }
        }
        for (long end = WINDOW_MS; end < 40_000; end += 100) {
            double bound = RATIO * Math.max(count(requests, end), count(requests, end - WINDOW_MS / 2)) + ALLOWANCE;
            assertThat((double) count(retries, end), lessThanOrEqualTo(bound));
        }
    }

    private static long count(List<Long> times, long end) {
        return times.stream().filter(t -> t > end - WINDOW_MS && t <= end).count();
    }
}
