package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class QuarantineTest {

    private static final RequestFingerprint BAD = new RequestFingerprint(1, 2);
    private static final RequestFingerprint BESIDE = new RequestFingerprint(3, 4);

    private final Quarantine quarantine = Quarantine.create();

    private Quarantine.Effect crash(RequestFingerprint request, String incarnation, long atMs) {
        return quarantine.crashed(new Crash(request, incarnation, atMs), atMs);
    }

    private void crashThree(RequestFingerprint request, long atMs) {
        crash(request, "a", atMs);
        crash(request, "b", atMs + 1);
        crash(request, "c", atMs + 2);
    }

    @Nested
    class Crashes {

        @Test
        void theThirdTargetThatEndsUnderARequestQuarantinesIt() {
            assertThat(crash(BAD, "a", 0), is(Quarantine.Effect.SUSPECTED));
            assertThat(quarantine.mayBeRepeated(BAD, 0), is(true));
            assertThat(crash(BAD, "b", 1), is(Quarantine.Effect.SUSPECTED));
            assertThat(quarantine.mayBeRepeated(BAD, 1), is(false));
            assertThat(quarantine.holds(BAD, 1), is(false));
            assertThat(crash(BAD, "c", 2), is(Quarantine.Effect.QUARANTINED));
            assertThat(quarantine.holds(BAD, 2), is(true));
            assertThat(crash(BAD, "d", 3), is(Quarantine.Effect.SUSPECTED));
        }

        @Test
        void oneTargetCountsOnceHoweverManyCopiesItRan() {
            for (int i = 0; i < 5; i++) {
                crash(BAD, "a", i);
            }
            assertThat(quarantine.crashesOf(BAD, 5), is(1));
        }

        @Test
        void requestsThatRanBesideItOnceOrTwiceGoOn() {
            crashThree(BAD, 0);
            crash(BESIDE, "a", 0);
            crash(BESIDE, "b", 1);
            assertThat(quarantine.holds(BESIDE, 2), is(false));
            assertThat(
                    quarantine.crashesOfQuarantined(2).stream()
                            .map(Crash::incarnation)
                            .toList(),
                    containsInAnyOrder("a", "b", "c"));
        }
    }

    @Nested
    class WholeAnswers {

        /** Guards against turning away a request that many ask for because targets end under it for another cause. */
        @Test
        void aRequestThatWasLatelyAnsweredIsNotBlamed() {
            quarantine.answered(BAD, 0);
            long atMs = Quarantine.CLEARED_BEFORE_MS;
            assertThat(crash(BAD, "a", atMs), is(Quarantine.Effect.CLEARED));
            crashThree(BAD, atMs - 2);
            assertThat(quarantine.holds(BAD, atMs), is(false));
            assertThat(crash(BAD, "a", atMs + 1), is(Quarantine.Effect.SUSPECTED));
        }

        @Test
        void anAnswerThatIsHeardOfLateClearsIt() {
            crashThree(BAD, 1_000);
            assertThat(quarantine.answered(BAD, 500), is(true));
            assertThat(quarantine.holds(BAD, 1_010), is(false));
            assertThat(quarantine.answered(BAD, 500), is(false));
        }

        @Test
        void anAnswerOfLongBeforeClearsNothing() {
            long atMs = 2 * Quarantine.CLEARED_BEFORE_MS;
            crashThree(BAD, atMs);
            assertThat(quarantine.answered(BAD, 0), is(false));
            assertThat(quarantine.holds(BAD, atMs + 2), is(true));
        }
    }

    @Nested
    class Lapse {

        /** Guards against a verdict that outlasts its ground: the targets may have been cured. */
        @Test
        void itMayRunAgainOnceTheFirstCrashIsForgottenAndIsHeldAgainWhenItCrashesAnother() {
            crashThree(BAD, 0);
            long lapsedAtMs = Quarantine.REMEMBERED_MS;
            assertThat(quarantine.endsInMs(BAD, 2), is(lapsedAtMs - 2));
            assertThat(quarantine.holds(BAD, lapsedAtMs - 1), is(true));
            assertThat(quarantine.holds(BAD, lapsedAtMs), is(false));
            assertThat(quarantine.endsInMs(BAD, lapsedAtMs), is(0L));
            assertThat(crash(BAD, "d", lapsedAtMs), is(Quarantine.Effect.QUARANTINED));
        }

        @Test
        void liftingForgetsEverything() {
            crashThree(BAD, 0);
            quarantine.lift();
            assertThat(quarantine.holds(BAD, 3), is(false));
            assertThat(quarantine.crashes(3).isEmpty(), is(true));
        }

        @Test
        void suspectsAreBounded() {
            for (int i = 0; i < 10_000; i++) {
                crash(new RequestFingerprint(i, 9), "a", i);
            }
            assertThat(quarantine.crashes(10_000).size(), lessThanOrEqualTo(4_096));
        }
    }

    /** Routers hear of the same crashes and answers in different orders, some of them twice, and hold the same. */
    @Property(tries = 300, seed = "41")
    void whatIsHeldDoesNotDependOnTheOrderOfTheNews(@ForAll long seed) {
        Random random = new Random(seed);
        List<Runnable> news = new ArrayList<>();
        Quarantine[] on = new Quarantine[1];
        for (int i = 0; i < 12; i++) {
            Crash crash =
                    new Crash(random.nextInt(3) == 0 ? BESIDE : BAD, "t" + random.nextInt(6), random.nextInt(9_000));
            news.add(() -> on[0].crashed(crash, 10_000));
        }
        if (random.nextBoolean()) {
            long answeredAtMs = random.nextInt(9_000);
            news.add(() -> on[0].answered(BESIDE, answeredAtMs));
        }
        Quarantine first = Quarantine.create();
        Quarantine second = Quarantine.create();
        on[0] = first;
        news.forEach(Runnable::run);
        news.addAll(news.subList(0, 5));
        Collections.shuffle(news, random);
        on[0] = second;
        news.forEach(Runnable::run);
        for (RequestFingerprint request : List.of(BAD, BESIDE)) {
            assertThat(second.holds(request, 10_000), is(first.holds(request, 10_000)));
            assertThat(second.crashesOf(request, 10_000), is(first.crashesOf(request, 10_000)));
        }
    }

    @Nested
    class Broken {

        private final BrokenCalls calls = BrokenCalls.create();

        @Test
        void onlyTheEndOfTheTargetSpeaksAgainstTheCallsThatBroke() {
            assertThat(calls.broke(BAD, "a", 0), is(true));
            assertThat(calls.broke(BESIDE, "a", 1), is(false));
            assertThat(calls.broke(BAD, "b", 1), is(true));
            assertThat(calls.ended("a", 0, 2).stream().map(Crash::request).toList(), containsInAnyOrder(BAD, BESIDE));
            assertThat(calls.ended("a", 0, 3).isEmpty(), is(true));
        }

        /** Guards against blaming a call for a target that went on after its connection broke, and ended later. */
        @Test
        void aTargetThatWasStillHeardHadNotEnded() {
            calls.broke(BAD, "a", 0);
            calls.broke(BESIDE, "a", 1_000);
            assertThat(calls.mayHaveEnded("a", 1_010), is(true));
            assertThat(calls.mayHaveEnded("a", 1_500), is(false));
            assertThat(
                    calls.ended("a", 1_010, 1_100).stream().map(Crash::request).toList(), is(List.of(BESIDE)));
        }

        @Test
        void aTargetThatEndsMuchLaterSaysNothingOfThem() {
            calls.broke(BAD, "a", 0);
            assertThat(calls.ended("a", 0, 10_001).isEmpty(), is(true));
        }
    }

    @Nested
    class Fingerprints {

        @Test
        void theyTellCallerPathAndBodyApartAndNothingElse() {
            RequestFingerprint one = RequestFingerprint.of("w", "POST", "h", "/a/1?x", new byte[] {1});
            assertThat(RequestFingerprint.of("w", "POST", "h", "/a/1?x", new byte[] {1}), is(one));
            List<RequestFingerprint> others = List.of(
                    RequestFingerprint.of("v", "POST", "h", "/a/1?x", new byte[] {1}),
                    RequestFingerprint.of("w", "PUT", "h", "/a/1?x", new byte[] {1}),
                    RequestFingerprint.of("w", "POST", "g", "/a/1?x", new byte[] {1}),
                    RequestFingerprint.of("w", "POST", "h", "/a/1", new byte[] {1}),
                    RequestFingerprint.of("w", "POST", "h", "/a/1?x", new byte[] {2}),
                    RequestFingerprint.of("", "wPOST", "h", "/a/1?x", new byte[] {1}));
            assertThat(others.contains(one), is(false));
            assertThat(one.toString().length(), is(32));
        }
    }
}
