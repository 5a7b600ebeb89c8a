package org.onyxhinge.core.place;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/** Load pattern: long prompts beside running streams, on targets of which one reads five times as fast as the other. */
class PromptSpreadingTest {

    private static final String SERVICE = "writers";
    private static final int SLOTS = 2;
    private static final int LONG_PROMPT_TOKENS = 10_000;
    private static final int SHORT_PROMPT_TOKENS = 500;
    private static final long GAP_TARGET_MS = 300;

    private static Placement placement(Set<Mechanism> mechanisms) {
        Placement placement =
                Placement.create("r1", "here", PlacementSettings.defaults().with(mechanisms), (peer, target) -> {});
        learn(placement, "fast", 0.005);
        learn(placement, "slow", 0.025);
        return placement;
    }

    /** Registers a target and teaches its speed to the placement. */
    private static void learn(Placement placement, String id, double prefillMsPerToken) {
        placement.targetSeen(new Target(id, 0, SERVICE, "", "10.0.0.1", 1, "here", SLOTS, true, 0));
        TargetState target = placement.target(id).orElseThrow();
        for (int i = 0; i < 50; i++) {
            target.recordGap(20);
            target.learnFirstByte(LONG_PROMPT_TOKENS * prefillMsPerToken + 20, LONG_PROMPT_TOKENS);
        }
    }

    private static Call call(long promptTokens) {
        return Call.of(SERVICE, 0)
                .times(600, 2_000)
                .responseDeadline(10_000)
                .gapTarget(GAP_TARGET_MS)
                .work(promptTokens, 30)
                .build();
    }

    private static String targetOf(Verdict verdict) {
        return ((Verdict.Send) verdict).target().info().id();
    }

    private static Verdict.Send send(Placement placement, long promptTokens) {
        return (Verdict.Send) placement.submit(call(promptTokens), 0);
    }

    @Nested
    class SwitchedOn {

        private final Placement placement = placement(Set.of(Mechanism.PROMPT_SPREADING));

        /** Guards against streams on a slow target that are all late because it reads a long prompt. */
        @Test
        void longPromptWaitsForTheFastTargetAndAShortOneTakesTheSlowOne() {
            placement.peerUses("r2", Map.of("fast", new TargetUse(SLOTS, 0)));
            Verdict waits = placement.submit(call(LONG_PROMPT_TOKENS), 0);
            assertThat(waits, instanceOf(Verdict.Wait.class));
            placement.submit(call(SHORT_PROMPT_TOKENS), 0);
            assertThat(targetOf(placement.pump(1).getFirst()), is("slow"));
            placement.peerUses("r2", Map.of());
            Verdict.Send sent = (Verdict.Send) placement.pump(2).getFirst();
            assertThat(sent.call(), is(waits.call()));
            assertThat(sent.target().info().id(), is("fast"));
        }

        /** Guards against two long prompts that one target reads at once. */
        @Test
        void longPromptWaitsWhileTheTargetReadsOthers() {
            Verdict.Send first = send(placement, 4 * LONG_PROMPT_TOKENS);
            assertThat(first.target().info().id(), is("fast"));
            assertThat(placement.submit(call(LONG_PROMPT_TOKENS), 0), instanceOf(Verdict.Wait.class));
            placement.firstByte(first.call(), first.target(), 210, 4 * LONG_PROMPT_TOKENS);
            assertThat(targetOf(placement.pump(210).getFirst()), is("fast"));
        }

        /** Guards against a long prompt whose target's slots all go to short ones until its deadline. */
        @Test
        void longPromptThatTurnsLateTakesAnyTarget() {
            placement.peerUses("r2", Map.of("fast", new TargetUse(SLOTS, 0)));
            placement.submit(call(LONG_PROMPT_TOKENS), 0);
            assertThat(placement.pump(100), is(empty()));
            assertThat(targetOf(placement.pump(590).getFirst()), is("slow"));
        }

        /** Guards against a call that waits for a target which it must not be sent to again. */
        @Test
        void longPromptDoesNotWaitForATargetThatHasFailedIt() {
            Call again = Call.of(SERVICE, 0)
                    .times(600, 2_000)
                    .responseDeadline(10_000)
                    .gapTarget(GAP_TARGET_MS)
                    .work(LONG_PROMPT_TOKENS, 30)
                    .avoid(Set.of("fast"))
                    .build();
            assertThat(targetOf(placement.submit(again, 0)), is("slow"));
        }

        /** Guards against a prompt that is never sent because it is too long for every target. */
        @Test
        void promptThatSuitsNoTargetIsSentAnyway() {
            assertThat(placement.submit(call(20 * LONG_PROMPT_TOKENS), 0), instanceOf(Verdict.Send.class));
        }
    }

    @Nested
    class SwitchedOff {

        /** Guards against deployments that did not ask for it being served in another way. */
        @Test
        void longPromptTakesAnyTargetThatSuitsItAlone() {
            Placement placement = placement(Set.of());
            placement.peerUses("r2", Map.of("fast", new TargetUse(SLOTS, 0)));
            assertThat(targetOf(placement.submit(call(LONG_PROMPT_TOKENS), 0)), is("slow"));
        }
    }
}
