package org.onyxhinge.core.engine;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class EngineModelTest {

    private static final EngineSpec SPEC = new EngineSpec(3, 2, 2, 0.5, 50, 500, 6, 100_000);

    private final EngineModel engine = EngineModel.create(SPEC);
    private long nextPart = 1;

    private EngineRun run(int promptTokens, int outputTokens) {
        return EngineRun.of(List.of(new PromptPart(nextPart++, promptTokens)), outputTokens);
    }

    /** Runs steps until a request has finished; returns the total duration. */
    private double runUntilFinished(EngineRun run) {
        double ms = 0;
        while (!run.finished()) {
            ms += engine.step().durationMs();
        }
        return ms;
    }

    @Nested
    class Batching {

        @Test
        void singleRequestPrefillsInChunksAndGeneratesOneTokenPerStep() {
            EngineRun run = run(1_000, 10);
            engine.submit(run);
            assertThat(runUntilFinished(run), closeTo(1_000 / 50.0 + 10 * 2, 1e-9));
        }

        @Test
        void eachAdditionalRequestLengthensEveryStep() {
            EngineRun first = run(500, 10);
            engine.submit(first);
            engine.submit(run(500, 50));
            double both = runUntilFinished(first);
            assertThat(both, greaterThan(500 / 50.0 + 10 * 2 + 9 * 0.5));
            assertThat(both, lessThan(2 * (500 / 50.0 + 10 * 2)));
        }

        @Test
        void longPromptDelaysTheOthersByOneChunkPerStep() {
            EngineRun first = run(10, 100);
            engine.submit(first);
            engine.step();
            engine.submit(run(5_000, 10));
            EngineStep step = engine.step();
            assertThat(step.durationMs(), closeTo(2 + 500 / 50.0, 1e-9));
            assertThat(first.generatedTokens(), is(1));
        }

        @Test
        void requestsBeyondTheSlotsWaitInOrderAndTheQueueIsBounded() {
            List<EngineRun> runs = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                runs.add(run(10, 5));
                assertThat(engine.submit(runs.getLast()), is(true));
            }
            assertThat(engine.submit(run(10, 5)), is(false));
            engine.step();
            assertThat(engine.running(), is(3));
            assertThat(engine.waiting(), is(2));
            runUntilFinished(runs.getFirst());
            assertThat(runs.get(4).generatedTokens(), is(0));
            runUntilFinished(runs.get(4));
        }

        @Test
        void eventsHoldSeveralTokensAndTheFirstIsSentWithTheFirstToken() {
            EngineRun run = run(10, 14);
            engine.submit(run);
            List<Integer> generatedAtEvents = new ArrayList<>();
            while (!run.finished()) {
                if (!engine.step().events().isEmpty()) {
                    generatedAtEvents.add(run.generatedTokens());
                }
            }
            assertThat(generatedAtEvents, is(List.of(1, 7, 13, 14)));
        }

        @Test
        void aCancelledRequestFreesItsSlot() {
            EngineRun run = run(10, 500);
            engine.submit(run);
            engine.step();
            engine.cancel(run);
            assertThat(engine.step(), is(EngineStep.IDLE));
        }
    }

    @Nested
    class Memory {

        @Test
        void cachedPromptPartsAreNotPrefilledAgain() {
            List<PromptPart> prompt = List.of(new PromptPart(1, 600), new PromptPart(2, 400));
            EngineRun first = EngineRun.of(prompt, 5);
            engine.submit(first);
            runUntilFinished(first);
            EngineRun longer = EngineRun.of(List.of(prompt.get(0), prompt.get(1), new PromptPart(3, 100)), 5);
            engine.submit(longer);
            runUntilFinished(longer);
            assertThat(engine.prefilledTokens(), is(1_100L));
        }

        @Test
        void leastRecentlyUsedPartsAreEvicted() {
            EngineModel small = EngineModel.create(new EngineSpec(1, 5, 2, 0, 50, 10_000, 1, 2_500));
            for (long id : new long[] {1, 2, 1, 3, 1, 2}) {
                EngineRun run = EngineRun.of(List.of(new PromptPart(id, 1_000)), 1);
                small.submit(run);
                while (!run.finished()) {
                    small.step();
                }
            }
            // Part 1 stays in use and is prefilled once; part 2 is evicted for part 3 and prefilled twice.
            assertThat(small.prefilledTokens(), is(4_000L));
        }

        @Test
        void newestRequestIsPreemptedAndPrefilledAgainWhenMemoryRunsOut() {
            EngineModel small = EngineModel.create(new EngineSpec(2, 5, 2, 0, 50, 10_000, 1, 1_100));
            EngineRun older = run(500, 100);
            EngineRun newer = run(500, 100);
            small.submit(older);
            small.submit(newer);
            while (!older.finished()) {
                small.step();
            }
            assertThat(newer.finished(), is(false));
            assertThat(newer.recomputedTokens(), greaterThan(500));
            while (!newer.finished()) {
                small.step();
            }
        }
    }
}
