package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Load pattern "lowered quota": a workspace uses all of its quota, which is then lowered to a quarter. */
class LoweredQuotaTest {

    private static final long WINDOW_MS = 8_000;
    private static final long LOWERED_AT_MS = 20_000;

    /** Largest number of refused callers that are told the same 100 ms, as a multiple of the mean over a window. */
    private static double largestWave(SharedQuota quota) {
        for (long ms = 0; ms < LOWERED_AT_MS; ms++) {
            quota.tryTake(1, 0, 1, ms);
        }
        quota.limit(250, 250);
        Map<Long, Integer> byTime = new HashMap<>();
        int refused = 0;
        for (long ms = LOWERED_AT_MS; ms < LOWERED_AT_MS + 2_000; ms++) {
            if (!quota.tryTake(1, 0, 1, ms)) {
                byTime.merge((ms + quota.retryAfterMs(1, 0, 1, ms)) / 100, 1, Integer::sum);
                refused++;
            }
        }
        int most = byTime.values().stream().mapToInt(i -> i).max().orElseThrow();
        return most / (refused * 100.0 / WINDOW_MS);
    }

    private static SharedQuota quota() {
        return SharedQuota.create(1_000, 1_000, WINDOW_MS, new PriorUsage.None(), 0);
    }

    /** Guards against a wave of retries when the old usage has left the window. */
    @Test
    void refusedCallersAreToldDifferentTimes() {
        SharedQuota quota = quota();
        quota.spreadRetries(0.3);
        assertThat(largestWave(quota), lessThan(2.0));
    }

    /** Guards against a change of deployments that did not switch it on: all are told the same 100 ms. */
    @Test
    void switchedOffTheyAreToldTheSameTime() {
        assertThat(largestWave(quota()), is(WINDOW_MS / 100.0));
    }

    /** Guards against callers of a workspace whose limit was not lowered being told a later time than necessary. */
    @Test
    void unchangedLimitIsNotSpread() {
        SharedQuota quota = quota();
        quota.spreadRetries(0.3);
        quota.limit(1_000, 1_000);
        IntStream.range(0, 3_000).forEach(i -> quota.tryTake(1, 0, 1, 100));
        assertThat(quota.retryAfterMs(1, 0, 1, 100), is(quota.waitMs(1, 0, 1, 100)));
    }
}
