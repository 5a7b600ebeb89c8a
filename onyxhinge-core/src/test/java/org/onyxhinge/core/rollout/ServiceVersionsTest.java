package org.onyxhinge.core.rollout;

import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.TargetRole;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Versions of a service that come and go while one version stays. */
class ServiceVersionsTest {

    private static final String STAYS = "stays";
    private static final long SECOND_MS = 1_000;

    private final ServiceVersions versions = new ServiceVersions();

    /** More versions than are kept; each is registered for two seconds, and roles are asked for as they change. */
    private void comeAndGo() {
        versions.seen(STAYS, true, 0);
        for (int i = 0; i < 3 * ServiceVersions.MAX_VERSIONS; i++) {
            versions.seen("version-" + i, false, i * SECOND_MS);
            versions.roleOf(STAYS, v -> true, i * SECOND_MS);
        }
    }

    private void rollOut(String version, long id, RolloutPhase end) {
        Rollout rollout = Rollout.start(
                new RolloutOrder("writers", version, 10_000, id), new RolloutLimits(0.1, 0), 1, id * SECOND_MS);
        versions.start(rollout);
        rollout.advance(RolloutPhase.PROMOTING, id * SECOND_MS);
        rollout.advance(end, id * SECOND_MS);
        versions.rolloutEnded(rollout);
    }

    @Test
    void aBoundedNumberIsKept() {
        comeAndGo();
        assertThat(versions.size(), is(lessThanOrEqualTo(ServiceVersions.MAX_VERSIONS)));
        assertThat(versions.roleOf(STAYS, v -> true, 0), is(TargetRole.SERVING));
    }

    /** Guards against a version that serves on beside the one that replaced it. */
    @Test
    void theOneThatStaysIsReplacedByARollout() {
        comeAndGo();
        versions.seen("next", false, 0);
        rollOut("next", 1, RolloutPhase.COMPLETED);
        assertThat(versions.roleOf(STAYS, v -> true, 0), is(TargetRole.WITHHELD));
        assertThat(versions.roleOf("next", v -> true, 0), is(TargetRole.SERVING));
    }

    @Test
    void aBoundedNumberOfReplacedOnesIsKept() {
        for (int i = 0; i < 3 * ServiceVersions.MAX_VERSIONS; i++) {
            versions.seen("version-" + i, false, i * SECOND_MS);
            rollOut("version-" + i, i, i % 2 == 0 ? RolloutPhase.COMPLETED : RolloutPhase.ROLLED_BACK);
        }
        assertThat(versions.size(), is(lessThanOrEqualTo(3 * ServiceVersions.MAX_VERSIONS)));
    }
}
