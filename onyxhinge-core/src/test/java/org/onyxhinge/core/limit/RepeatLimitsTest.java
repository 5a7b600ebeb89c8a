package org.onyxhinge.core.limit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Requests 1 and 2 of one workspace; request 1 is refused at 0 and its caller is told to retry after 2 s. */
class RepeatLimitsTest {

    private static final long DEADLINE_MS = 60_000;

    private final RepeatLimits limits = RepeatLimits.create();

    private RepeatLimitsTest() {
        limits.refused(1, 2_000, DEADLINE_MS, 0);
        limits.arrived(1, DEADLINE_MS, 100);
    }

    /** Guards against a caller's other requests being refused for a repeat. */
    @Test
    void onlyTheRepeatedRequestIsMarked() {
        assertThat(limits.arrived(1, DEADLINE_MS, 200), is(2));
        assertThat(limits.arrived(2, DEADLINE_MS, 200), is(0));
        assertThat("another caller's", limits.arrived(1, DEADLINE_MS + 150, 200), is(0));
    }

    /** Guards against a mark that outlives the repeats. */
    @Test
    void isClearedAtItsTime() {
        assertThat(limits.arrived(1, DEADLINE_MS, 2_000), is(0));
        assertThat(limits.arrived(1, DEADLINE_MS, 2_100), is(0));
    }

    @Test
    void expires() {
        limits.refused(1, 60_000, DEADLINE_MS, 200);
        assertThat(limits.arrived(1, DEADLINE_MS, 10_300), is(0));
    }

    /** Guards against marking callers that retry after a third of the time they have left. */
    @Test
    void callerWithLittleTimeLeftMayRetryBeforeTheTimeItWasTold() {
        limits.refused(3, 2_000, 1_700, 200);
        limits.arrived(3, 1_700, 250);
        assertThat(limits.arrived(3, 1_700, 700), is(0));
    }

    /** Guards against marks without evidence at a router that has lost its state. */
    @Test
    void restartedRouterMarksNothing() {
        assertThat(RepeatLimits.create().arrived(1, DEADLINE_MS, 200), is(0));
    }
}
