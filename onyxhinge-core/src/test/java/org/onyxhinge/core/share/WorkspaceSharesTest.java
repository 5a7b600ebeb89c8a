package org.onyxhinge.core.share;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class WorkspaceSharesTest {

    private static final String SERVICE = "writers";
    private static final long NOW_MS = 10_000;

    private static WorkspaceShares.Use use(String workspace, long ms) {
        return new WorkspaceShares.Use(0, workspace, ms);
    }

    @Nested
    class Levels {

        private final WorkspaceShares shares = new WorkspaceShares();

        /** Guards against shares that a workspace with little load takes without using them. */
        @Test
        void unusedPartOfAShareGoesToTheOthers() {
            shares.peerUsed("r2", List.of(use("small", 100), use("large", 1_000), use("hot", 3_000)), NOW_MS);
            assertThat(shares.isAboveShare(0, "small"), is(false));
            assertThat(shares.isAboveShare(0, "large"), is(false));
            assertThat(shares.isAboveShare(0, "hot"), is(true));
        }

        /** Guards against a workspace that is held back for its calls of another rank, or although it is alone. */
        @Test
        void ranksAreSharedSeparately() {
            shares.peerUsed("r2", List.of(use("hot", 3_000), use("small", 100)), NOW_MS);
            shares.used(1, "hot", 50, NOW_MS);
            assertThat(shares.isAboveShare(1, "hot"), is(false));
        }

        /** Guards against a long call that counts as what was expected of it, and against use that is never forgotten. */
        @Test
        void useIsCorrectedAndDecays() {
            shares.used(0, "a", 1_000, NOW_MS);
            shares.used(0, "b", 1_000, NOW_MS);
            shares.used(0, "b", 500, NOW_MS);
            assertThat(shares.isAboveShare(0, "a"), is(false));
            assertThat(shares.isAboveShare(0, "b"), is(true));
            assertThat(shares.ownUse(NOW_MS + 120_000), is(empty()));
        }
    }

    @Nested
    class Failures {

        private final WorkspaceShares shares = new WorkspaceShares();

        /** Guards against the calls of a router that is no longer heard from holding a workspace back. */
        @Test
        void useOfASilentPeerIsDropped() {
            shares.used(0, "a", 100, NOW_MS);
            shares.used(0, "b", 100, NOW_MS);
            shares.peerUsed("r2", List.of(use("a", 5_000)), NOW_MS);
            assertThat(shares.isAboveShare(0, "a"), is(true));
            shares.used(0, "b", 10, NOW_MS + 1_000);
            shares.peerGone("r2");
            assertThat(shares.isAboveShare(0, "a"), is(false));
        }

        /** Guards against a restarted router, or one beside it, that counts use from before the restart twice. */
        @Test
        void restartedRouterLearnsUseFromOneUpdateOfEachPeer() {
            shares.used(0, "a", 5_000, NOW_MS);
            shares.used(0, "b", 500, NOW_MS);
            WorkspaceShares restarted = new WorkspaceShares();
            assertThat(restarted.isAboveShare(0, "a"), is(false));
            restarted.peerUsed("r1", shares.ownUse(NOW_MS), NOW_MS);
            restarted.peerUsed("r1", shares.ownUse(NOW_MS), NOW_MS);
            assertThat(restarted.isAboveShare(0, "a"), is(true));
            assertThat(Set.copyOf(restarted.totalUse(NOW_MS)), is(Set.copyOf(shares.ownUse(NOW_MS))));
            assertThat(restarted.ownUse(NOW_MS), is(empty()));
        }
    }

    /** Load pattern: a workspace that has used most of the time, and another, each with queued calls of one rank. */
    @Nested
    class QueuedCalls {

        private Placement placement;
        private Verdict.Send first;
        private Verdict.Send second;

        private final Call hot = call("hot", false);
        private final Call hotRetry = call("hot", true);
        private final Call usual = call("usual", false);

        private Call call(String workspace, boolean retry) {
            return Call.of(SERVICE, NOW_MS)
                    .workspace(workspace)
                    .rank(0, retry)
                    .times(NOW_MS + 900, NOW_MS + 2_000)
                    .build();
        }

        @BeforeEach
        void start() {
            start(PlacementSettings.defaults().with(Set.of(Mechanism.WORKSPACE_SHARES)));
        }

        private void start(PlacementSettings settings) {
            placement = Placement.create("r1", "here", settings, (peer, target) -> {});
            placement.targetSeen(new Target("a", 0, SERVICE, "", "10.0.0.1", 1, "here", 2, true, 0));
            placement.routerSeen("r2", "here");
            placement.peerUses("r2", Map.of());
            placement.peerWorkspaceUse("r2", Map.of(SERVICE, List.of(use("hot", 9_000), use("usual", 900))), NOW_MS);
            first = (Verdict.Send) placement.submit(call("other", false), NOW_MS);
            second = (Verdict.Send) placement.submit(call("other", false), NOW_MS);
            placement.submit(hot, NOW_MS);
            placement.submit(hotRetry, NOW_MS);
            placement.submit(usual, NOW_MS);
        }

        private List<Call> sentWhenBothEnd() {
            for (Verdict.Send running : List.of(first, second)) {
                placement.ended(running.call(), running.target(), true, NOW_MS + 1);
            }
            return placement.pump(NOW_MS + 1).stream().map(Verdict::call).toList();
        }

        /** Guards against a hot workspace that displaces others, and against a slot left idle for the others' sake. */
        @Test
        void workspaceBelowItsShareComesBeforeRetriesOfOneAbove() {
            assertThat(sentWhenBothEnd(), contains(usual, hotRetry));
        }

        /** Guards against the use that a silent router has reported deciding after its other state was dropped. */
        @Test
        void silentPeerDoesNotDecide() {
            placement.peerGone("r2");
            assertThat(sentWhenBothEnd(), contains(hotRetry, hot));
        }

        /** Guards against deployments that did not ask for it being served in another order, or sending the new field. */
        @Test
        void switchedOffTheOrderIsUnchangedAndNothingIsReported() {
            start(PlacementSettings.defaults());
            assertThat(sentWhenBothEnd(), contains(hotRetry, hot));
            assertThat(placement.news(NOW_MS).forRouter("r2").workspaceUse().isEmpty(), is(true));
        }
    }
}
