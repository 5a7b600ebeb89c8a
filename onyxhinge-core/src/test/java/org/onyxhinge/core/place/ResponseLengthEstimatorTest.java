package org.onyxhinge.core.place;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class ResponseLengthEstimatorTest {

    private static final int TOKENS_PER_EVENT = 5;

    private final ResponseLengthEstimator lengths = new ResponseLengthEstimator();

    @Test
    void usesRouteAverageWithoutCallerEstimate() {
        for (int i = 0; i < 500; i++) {
            lengths.ended("letters", 80, 0);
        }
        assertThat((double) lengths.expectedEvents("letters", 0), closeTo(80, 1));
        assertThat((double) lengths.expectedEvents("other", 0), closeTo(30, 1));
    }

    @Test
    void scalesCallerEstimateByRecentRatio() {
        for (int i = 0; i < 500; i++) {
            lengths.ended("letters", 10 + i % 100, TOKENS_PER_EVENT * (10 + i % 100));
        }
        assertThat((double) lengths.expectedEvents("letters", 1_000), closeTo(200, 10));
        assertThat((double) lengths.expectedEvents("letters", 10), closeTo(2, 1));
    }

    /**
     * Half of the estimates are off by more than two thirds, but they still separate long responses from short ones.
     */
    @Test
    void inaccurateEstimatesStillSeparateLongFromShort() {
        Random random = new Random(3);
        for (int i = 0; i < 500; i++) {
            int events = 1 + random.nextInt(200);
            lengths.ended("letters", events, (long) (TOKENS_PER_EVENT * events * Math.exp(random.nextGaussian() / 2)));
        }
        assertThat(lengths.expectedEvents("letters", 1_000), greaterThan(100L));
        assertThat(lengths.expectedEvents("letters", 20) < 10, is(true));
    }

    @Test
    void expectsAtLeastOneEvent() {
        assertThat(lengths.expectedEvents("letters", 1), is(1L));
    }
}
