package org.onyxhinge.core.place;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class LapsedTargetsTest {

    private final LapsedTargets lapsed = LapsedTargets.create();

    @Test
    void missingTargetExpiresOnce() {
        lapsed.lapsed("a", 1_000);
        lapsed.lapsed("a", 2_500);
        assertThat(lapsed.due(2_999), is(empty()));
        assertThat(lapsed.due(3_000), contains("a"));
        assertThat(lapsed.due(9_000), is(empty()));
    }

    @Test
    void reregisteredTargetStays() {
        lapsed.lapsed("a", 1_000);
        lapsed.lapsed("b", 1_000);
        lapsed.settled("a");
        assertThat(lapsed.due(5_000), contains("b"));
    }

    /** Guards against calls to the one target that was removed in an outage, and against a service without targets. */
    @Test
    void fewMissingTargetsHaveLeftAndManyHaveLapsed() {
        assertThat(LapsedTargets.haveLeft(1, 3), is(true));
        assertThat(LapsedTargets.haveLeft(6, 13), is(true));
        assertThat(LapsedTargets.haveLeft(7, 13), is(false));
        assertThat(LapsedTargets.haveLeft(1, 2), is(false));
        assertThat(LapsedTargets.haveLeft(1, 1), is(false));
    }
}
