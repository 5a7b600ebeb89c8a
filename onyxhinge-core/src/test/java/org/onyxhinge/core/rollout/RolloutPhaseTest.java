package org.onyxhinge.core.rollout;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.TargetRole;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Phases of a rollout, and which versions get calls in them. */
class RolloutPhaseTest {

    private static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50);
    private static final long NOW_MS = 100_000;

    private final ServiceVersions versions = new ServiceVersions();
    private final Set<String> withTargets = new HashSet<>(Set.of("v0", "v1", "v2", "v3"));

    private Rollout start(String version, long id) {
        Rollout rollout = Rollout.start(new RolloutOrder("writers", version, 10_000, id), LIMITS, 4, NOW_MS);
        versions.start(rollout);
        return rollout;
    }

    private void advance(Rollout rollout, RolloutPhase phase) {
        rollout.advance(phase, NOW_MS);
        versions.rolloutEnded(rollout);
    }

    private TargetRole roleOf(String version) {
        return versions.roleOf(version, withTargets::contains, NOW_MS);
    }

    @Nested
    class Transitions {

        /** Guards against an outcome that changes after operators have acted on it. */
        @Test
        void outcomesAreFinal() {
            Rollout rollout = start("v2", 1);
            assertThat(rollout.advance(RolloutPhase.PROMOTING, NOW_MS), is(true));
            assertThat(rollout.advance(RolloutPhase.COMPLETED, NOW_MS), is(true));
            assertThat(rollout.advance(RolloutPhase.ROLLED_BACK, NOW_MS), is(false));
            assertThat(rollout.phase(), is(RolloutPhase.COMPLETED));
        }

        /** Guards against a late message that puts a rejected version back on trial. */
        @Test
        void phasesDoNotGoBack() {
            Rollout rollout = start("v2", 1);
            rollout.advance(RolloutPhase.ROLLED_BACK, NOW_MS);
            assertThat(rollout.advance(RolloutPhase.TRIAL, NOW_MS), is(false));
            assertThat(rollout.advance(RolloutPhase.PROMOTING, NOW_MS), is(false));
        }

        /** Guards against two outcomes: the recorded one replaces a rollback that came too late. */
        @Test
        void recordedOutcomeReplacesALateRollback() {
            Rollout rollout = start("v2", 1);
            advance(rollout, RolloutPhase.ROLLED_BACK);
            rollout.settle(RolloutPhase.COMPLETED);
            versions.rolloutEnded(rollout);
            assertThat(rollout.phase(), is(RolloutPhase.COMPLETED));
        }
    }

    @Nested
    class Roles {

        @Test
        void ofAVersionOnTrialAreLimited() {
            versions.seen("v1", true, NOW_MS);
            start("v2", 1);
            assertThat(roleOf("v1"), is(TargetRole.SERVING));
            assertThat(roleOf("v2"), is(TargetRole.TRIAL));
        }

        @Test
        void changePlacesWithThePromotion() {
            versions.seen("v1", true, NOW_MS);
            advance(start("v2", 1), RolloutPhase.PROMOTING);
            assertThat(roleOf("v1"), is(TargetRole.REPLACED));
            assertThat(roleOf("v1").takesNewCalls(), is(false));
            assertThat(roleOf("v2"), is(TargetRole.SERVING));
        }

        /** Guards against a rejected version that serves again once its rollout is over. */
        @Test
        void ofARejectedVersionStayWithheldUntilItIsOrderedAgain() {
            versions.seen("v1", true, NOW_MS);
            versions.seen("v2", true, NOW_MS);
            advance(start("v2", 1), RolloutPhase.ROLLED_BACK);
            assertThat(roleOf("v2"), is(TargetRole.WITHHELD));
            start("v2", 2);
            assertThat(roleOf("v2"), is(TargetRole.TRIAL));
        }

        /** Guards against calls to targets that stop at the completion, also from routers that start then. */
        @Test
        void ofReplacedVersionsAreWithheldAfterTheCompletion() {
            versions.seen("v1", true, NOW_MS);
            advance(start("v2", 1), RolloutPhase.COMPLETED);
            versions.seen("v0", true, NOW_MS);
            assertThat(roleOf("v1"), is(TargetRole.WITHHELD));
            assertThat(roleOf("v0"), is(TargetRole.WITHHELD));
            assertThat(roleOf("v2"), is(TargetRole.SERVING));
        }

        /** Guards against exposure before the order is read, and against no service for want of an order. */
        @Test
        void ofAVersionWithoutAnOrderAreWithheldForAShortTime() {
            versions.seen("v1", true, NOW_MS);
            versions.seen("v2", false, NOW_MS);
            assertThat(roleOf("v2"), is(TargetRole.WITHHELD));
            assertThat(versions.roleOf("v2", withTargets::contains, NOW_MS + 1_000), is(TargetRole.SERVING));
            assertThat(roleOf("v1"), is(TargetRole.SERVING));
        }

        /** Guards against a service that refuses all calls because a version that has no targets served before. */
        @Test
        void ofAVersionWithoutAnOrderServeAtOnceIfNoOtherHasTargets() {
            versions.seen("v1", true, NOW_MS);
            versions.seen("v2", false, NOW_MS);
            withTargets.remove("v1");
            assertThat(roleOf("v2"), is(TargetRole.SERVING));
        }

        /** Guards against the same because of versions that get no calls themselves. */
        @Test
        void ofAVersionWithoutAnOrderServeAtOnceIfNoOtherServes() {
            versions.seen("v0", true, NOW_MS);
            versions.seen("v1", true, NOW_MS);
            advance(start("v1", 1), RolloutPhase.COMPLETED);
            advance(start("v1", 2), RolloutPhase.ROLLED_BACK);
            versions.seen("v2", false, NOW_MS);
            assertThat(roleOf("v2"), is(TargetRole.SERVING));
        }

        /** Guards against a superseded version that is taken for one in use. */
        @Test
        void ofAVersionWhoseOrderWasReplacedAreWithheld() {
            versions.seen("v1", true, NOW_MS);
            start("v2", 1);
            start("v3", 2);
            assertThat(roleOf("v1"), is(TargetRole.SERVING));
            assertThat(roleOf("v2"), is(TargetRole.WITHHELD));
            assertThat(roleOf("v3"), is(TargetRole.TRIAL));
        }
    }
}
