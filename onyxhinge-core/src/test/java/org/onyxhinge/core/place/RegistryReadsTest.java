package org.onyxhinge.core.place;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against taking a slow registry response for an outage. A router that had been cut off for eight seconds took
 * the registration that a target had given up for one that had lapsed with the registry. It kept the target for two
 * more seconds and sent it a call 4.8 s after the registration had been given up.
 *
 * <p>The gap was measured from when the previous answered read had been requested. That read was answered slowly, being
 * the first one after a long time, and the next one was requested after the usual pause. The measured gap was 2.8 s
 * although the registry had answered 1.4 s before, as the router's log lines for both reads showed.
 */
class RegistryReadsTest {

    private final RegistryReads reads = RegistryReads.create();

    @Test
    void slowAnswerIsNoOutage() {
        reads.readCompleted(28_270);
        assertThat(reads.wasUnavailable(29_718), is(false));
    }

    @Test
    void gapLongerThanRegistrationTtlIsAnOutage() {
        reads.readCompleted(1_000);
        assertThat(reads.wasUnavailable(3_500), is(true));
        reads.readCompleted(3_500);
        assertThat(reads.wasUnavailable(4_400), is(false));
    }

    @Test
    void noOutageBeforeFirstRead() {
        assertThat(reads.wasUnavailable(60_000), is(false));
    }
}
