package org.onyxhinge.wire;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SuspendAwareClockTest {

    private final SuspendAwareClock clock = SuspendAwareClock.create();

    @Test
    void suspendedTimeIsCounted() {
        assertThat(clock.read(1_000, 50_000), is(1_000L));
        assertThat(clock.read(1_500, 53_500), is(4_500L));
        assertThat(clock.read(2_000, 54_000), is(5_000L));
    }

    @Test
    void backwardStepOfTheWallClockIsIgnored() {
        clock.read(1_000, 50_000);
        assertThat(clock.read(1_010, 48_010), is(1_010L));
        assertThat(clock.read(2_010, 49_010), is(2_010L));
    }

    @Test
    void gradualDriftIsNotCountedAsSuspension() {
        long wallClockMs = 50_000;
        for (long ms = 0; ms < 100_000; ms += 100) {
            wallClockMs += 101;
            assertThat(clock.read(ms, wallClockMs), is(ms));
        }
    }
}
