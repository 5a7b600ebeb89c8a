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

    private static final Fingerprint CRASHING = new Fingerprint(1, 2);
    private static final Fingerprint CONCURRENT = new Fingerprint(3, 4);

    private final Quarantine quarantine = Quarantine.create();

    private Quarantine.Effect crash(Fingerprint request, String incarnation, long atMs) {
        return quarantine.recordCrash(new Crash(request, incarnation, atMs), atMs);
    }

    private void crashThree(Fingerprint request, long atMs) {
        crash(request, "a", atMs);
        crash(request, "b", atMs + 1);
        crash(request, "c", atMs + 2);
    }

    @Nested
    class Crashes {

        @Test
        void thirdTargetCrashQuarantinesTheRequest() {
            assertThat(crash(CRASHING, "a", 0), is(Quarantine.Effect.SUSPECTED));
            assertThat(quarantine.mayBeRepeated(CRASHING, 0), is(true));
            assertThat(crash(CRASHING, "b", 1), is(Quarantine.Effect.SUSPECTED));
            assertThat(quarantine.mayBeRepeated(CRASHING, 1), is(false));
            assertThat(quarantine.holds(CRASHING, 1), is(false));
            assertThat(crash(CRASHING, "c", 2), is(Quarantine.Effect.QUARANTINED));
            assertThat(quarantine.holds(CRASHING, 2), is(true));
            assertThat(crash(CRASHING, "d", 3), is(Quarantine.Effect.SUSPECTED));
        }

        @Test
        void oneTargetCountsOnceForAnyNumberOfCopies() {
            for (int i = 0; i < 5; i++) {
                crash(CRASHING, "a", i);
            }
            assertThat(quarantine.crashesOf(CRASHING, 5), is(1));
        }

        @Test
        void requestsInFewerCrashesAreNotQuarantined() {
            crashThree(CRASHING, 0);
            crash(CONCURRENT, "a", 0);
            crash(CONCURRENT, "b", 1);
            assertThat(quarantine.holds(CONCURRENT, 2), is(false));
            assertThat(
                    quarantine.crashesOfQuarantined(2).stream()
                            .map(Crash::incarnation)
                            .toList(),
                    containsInAnyOrder("a", "b", "c"));
        }
    }

    @Nested
    class CompleteAnswers {

        /** Guards against quarantining a popular request because the targets that run it end for another reason. */
        @Test
        void recentlyAnsweredRequestIsNotBlamed() {
            quarantine.answered(CRASHING, 0);
            long atMs = Quarantine.SUCCESS_GRACE_MS;
            assertThat(crash(CRASHING, "a", atMs), is(Quarantine.Effect.CLEARED));
            crashThree(CRASHING, atMs - 2);
            assertThat(quarantine.holds(CRASHING, atMs), is(false));
            assertThat(crash(CRASHING, "a", atMs + 1), is(Quarantine.Effect.SUSPECTED));
        }

        @Test
        void lateReportOfAnAnswerClearsTheRequest() {
            crashThree(CRASHING, 1_000);
            assertThat(quarantine.answered(CRASHING, 500), is(true));
            assertThat(quarantine.holds(CRASHING, 1_010), is(false));
            assertThat(quarantine.answered(CRASHING, 500), is(false));
        }

        @Test
        void oldAnswerClearsNothing() {
            long atMs = 2 * Quarantine.SUCCESS_GRACE_MS;
            crashThree(CRASHING, atMs);
            assertThat(quarantine.answered(CRASHING, 0), is(false));
            assertThat(quarantine.holds(CRASHING, atMs + 2), is(true));
        }
    }

    /** A suspect that was answered before it began to crash targets. */
    @Nested
    class CrashesAfterAnAnswer {

        private void crashTimes(Fingerprint suspect, int count) {
            for (int i = 1; i <= count; i++) {
                crash(suspect, "t" + i, i * 1_000L);
            }
        }

        @Test
        void moreCrashesAreNeeded() {
            quarantine.answered(CRASHING, 0);
            crashTimes(CRASHING, Quarantine.WEAK_CRASH_THRESHOLD - 1);
            assertThat(quarantine.holds(CRASHING, 5_000), is(false));
            assertThat(quarantine.mayBeRepeated(CRASHING, 5_000), is(false));
            assertThat(crash(CRASHING, "t5", 5_000), is(Quarantine.Effect.QUARANTINED));
        }

        @Test
        void answerToACallSentAfterwardsRefutesThem() {
            quarantine.answered(CRASHING, 0);
            crashTimes(CRASHING, Quarantine.WEAK_CRASH_THRESHOLD);
            assertThat(quarantine.answered(CRASHING, 3_500), is(true));
            assertThat(quarantine.holds(CRASHING, 6_000), is(false));
            assertThat(crash(CRASHING, "t2", 2_000), is(Quarantine.Effect.CLEARED));
            assertThat(quarantine.crashes(6_000).size(), is(2));
        }

        /** Guards against blaming a popular suspect for targets that end together. */
        @Test
        void crashesAtOneTimeCountOnce() {
            quarantine.answered(CRASHING, 0);
            for (int i = 0; i < 20; i++) {
                crash(CRASHING, "t" + i, 1_000 + i);
            }
            assertThat(quarantine.holds(CRASHING, 2_000), is(false));
        }

        /** Guards against blaming a popular suspect for the crashes that another one explains. */
        @Test
        void crashesWithAQuarantinedSuspectDoNotCount() {
            quarantine.answered(CONCURRENT, 0);
            crashTimes(CRASHING, Quarantine.WEAK_CRASH_THRESHOLD);
            crashTimes(CONCURRENT, Quarantine.WEAK_CRASH_THRESHOLD);
            assertThat(quarantine.holds(CRASHING, 6_000), is(true));
            assertThat(quarantine.holds(CONCURRENT, 6_000), is(false));
        }
    }

    /** Something else than a quarantined suspect may be to blame for its crashes. */
    @Nested
    class Trials {

        private final Fingerprint part = Fingerprint.ofPromptPart("part");
        private final Suspects withPart = Suspects.of(CONCURRENT, List.of("part"));

        private Quarantine.Decision decide(Suspects request) {
            return quarantine.decide(request, 3_000);
        }

        @Test
        void partThatAnotherSuspectWasAlwaysWithMayBeTried() {
            crashThree(CRASHING, 1_000);
            crashThree(part, 1_000);
            assertThat(decide(Suspects.of(CRASHING, List.of("part"))), is(Quarantine.Decision.WITHHOLD));
            crash(part, "d", 2_000);
            assertThat(decide(withPart), is(Quarantine.Decision.WITHHOLD));
            crash(CRASHING, "d", 2_000);
            assertThat(decide(withPart), is(Quarantine.Decision.TRY));
            assertThat(quarantine.answered(part, 2_500), is(true));
            assertThat(decide(withPart), is(Quarantine.Decision.SEND));
            assertThat(decide(Suspects.of(CRASHING, List.of("part"))), is(Quarantine.Decision.WITHHOLD));
        }

        /** Guards against withholding a part because a host with several targets has failed. */
        @Test
        void partOfRequestsOnTargetsThatEndedTogetherMayBeTried() {
            crashThree(part, 1_000);
            assertThat(decide(withPart), is(Quarantine.Decision.TRY));
            crash(part, "d", 2_000);
            assertThat(decide(withPart), is(Quarantine.Decision.WITHHOLD));
        }

        @Test
        void oneRequestAtATimeIsTried() {
            crashThree(part, 1_000);
            assertThat(quarantine.beginTrial(withPart, 3_000), is(true));
            assertThat(quarantine.beginTrial(withPart, 3_001), is(false));
            quarantine.endTrial(withPart, 3_100);
            assertThat(quarantine.beginTrial(withPart, 3_100), is(false));
            assertThat(quarantine.beginTrial(withPart, 3_100 + Quarantine.TRIAL_PAUSE_MS), is(true));
        }
    }

    @Nested
    class Expiry {

        /** Guards against a quarantine that outlasts its cause: the targets may have been fixed. */
        @Test
        void quarantineEndsWhenTheFirstCrashExpiresAndIsRenewedByAnotherCrash() {
            crashThree(CRASHING, 0);
            long expiresAtMs = Quarantine.CRASH_RETENTION_MS;
            assertThat(quarantine.endsInMs(CRASHING, 2), is(expiresAtMs - 2));
            assertThat(quarantine.holds(CRASHING, expiresAtMs - 1), is(true));
            assertThat(quarantine.holds(CRASHING, expiresAtMs), is(false));
            assertThat(quarantine.endsInMs(CRASHING, expiresAtMs), is(0L));
            assertThat(crash(CRASHING, "d", expiresAtMs), is(Quarantine.Effect.QUARANTINED));
        }

        @Test
        void liftDiscardsAllCrashes() {
            crashThree(CRASHING, 0);
            quarantine.lift(2);
            assertThat(quarantine.holds(CRASHING, 3), is(false));
            assertThat(quarantine.crashes(3).isEmpty(), is(true));
        }

        /** Guards against a lifted quarantine that returns with a router which has not read of its end yet. */
        @Test
        void crashesBeforeALiftDoNotCountAgain() {
            crashThree(CRASHING, 0);
            quarantine.lift(10);
            for (String incarnation : List.of("a", "b", "c")) {
                Crash reportedAgain = new Crash(CRASHING, incarnation, 2);
                assertThat(quarantine.recordCrash(reportedAgain, 20), is(Quarantine.Effect.NONE));
            }
            assertThat(quarantine.holds(CRASHING, 20), is(false));
            crashThree(CRASHING, 30);
            assertThat(quarantine.holds(CRASHING, 32), is(true));
        }

        @Test
        void suspectsAreBounded() {
            for (int i = 0; i < 10_000; i++) {
                crash(new Fingerprint(i, 9), "a", i);
            }
            assertThat(quarantine.crashes(10_000).size(), lessThanOrEqualTo(4_096));
        }
    }

    /**
     * Routers that learn of the same crashes and answers in different orders, some of them twice, reach the same state.
     */
    @Property(tries = 300, seed = "41")
    void quarantineDoesNotDependOnTheOrderOfReports(@ForAll long seed) {
        Random random = new Random(seed);
        List<Runnable> reports = new ArrayList<>();
        Quarantine[] current = new Quarantine[1];
        for (int i = 0; i < 12; i++) {
            Crash crash = new Crash(
                    random.nextInt(3) == 0 ? CONCURRENT : CRASHING, "t" + random.nextInt(6), random.nextInt(9_000));
            reports.add(() -> current[0].recordCrash(crash, 10_000));
        }
        if (random.nextBoolean()) {
            long answeredAtMs = random.nextInt(9_000);
            reports.add(() -> current[0].answered(CONCURRENT, answeredAtMs));
        }
        Quarantine first = Quarantine.create();
        Quarantine second = Quarantine.create();
        current[0] = first;
        reports.forEach(Runnable::run);
        reports.addAll(reports.subList(0, 5));
        Collections.shuffle(reports, random);
        current[0] = second;
        reports.forEach(Runnable::run);
        for (Fingerprint request : List.of(CRASHING, CONCURRENT)) {
            assertThat(second.holds(request, 10_000), is(first.holds(request, 10_000)));
            assertThat(second.crashesOf(request, 10_000), is(first.crashesOf(request, 10_000)));
        }
    }

    @Nested
    class BrokenConnections {

        private final BrokenCalls calls = BrokenCalls.create();

        @Test
        void brokenCallsAreSuspectOnlyWhenTheTargetEnds() {
            assertThat(calls.broke(Suspects.of(CRASHING, List.of()), "a", 0), is(true));
            assertThat(calls.broke(Suspects.of(CONCURRENT, List.of()), "a", 1), is(false));
            assertThat(calls.broke(Suspects.of(CRASHING, List.of()), "b", 1), is(true));
            assertThat(
                    calls.ended("a", 0, 2).stream().map(Crash::suspect).toList(),
                    containsInAnyOrder(CRASHING, CONCURRENT));
            assertThat(calls.ended("a", 0, 3).isEmpty(), is(true));
        }

        /** Guards against blaming a call whose connection broke while its target went on and ended only later. */
        @Test
        void callsBeforeTheLastBytesFromTheTargetAreNotSuspect() {
            calls.broke(Suspects.of(CRASHING, List.of()), "a", 0);
            calls.broke(Suspects.of(CONCURRENT, List.of()), "a", 1_000);
            assertThat(calls.mayHaveEnded("a", 1_010), is(true));
            assertThat(calls.mayHaveEnded("a", 1_500), is(false));
            assertThat(
                    calls.ended("a", 1_010, 1_100).stream().map(Crash::suspect).toList(), is(List.of(CONCURRENT)));
        }

        /** Guards against a call that broke with its target and is read only after the target was found to have ended. */
        @Test
        void callsThatBreakAfterTheTargetWasFoundToHaveEndedAreSuspect() {
            calls.broke(Suspects.of(CRASHING, List.of()), "a", 0);
            calls.ended("a", 0, 2);
            assertThat(calls.hasEnded("a", 3), is(true));
            assertThat(calls.hasEnded("b", 3), is(false));
            calls.broke(Suspects.of(CONCURRENT, List.of()), "a", 3);
            assertThat(calls.ended("a", 0, 3).stream().map(Crash::suspect).toList(), is(List.of(CONCURRENT)));
        }

        @Test
        void partsOfSeveralCallsAreSuspectOnce() {
            calls.broke(Suspects.of(CRASHING, List.of("first", "second")), "a", 0);
            calls.broke(Suspects.of(CONCURRENT, List.of("first")), "a", 0);
            assertThat(
                    calls.ended("a", 0, 2).stream().map(Crash::suspect).toList(),
                    containsInAnyOrder(
                            CRASHING,
                            CONCURRENT,
                            Fingerprint.ofPromptPart("first"),
                            Fingerprint.ofPromptPart("second")));
        }

        @Test
        void callsLongBeforeTheEndOfTheTargetAreNotSuspect() {
            calls.broke(Suspects.of(CRASHING, List.of()), "a", 0);
            assertThat(calls.ended("a", 0, 10_001).isEmpty(), is(true));
        }
    }

    @Nested
    class Fingerprints {

        @Test
        void fingerprintDependsOnlyOnCallerMethodHostUriAndBody() {
            Fingerprint one = Fingerprint.of("w", "POST", "h", "/a/1?x", new byte[] {1});
            assertThat(Fingerprint.of("w", "POST", "h", "/a/1?x", new byte[] {1}), is(one));
            List<Fingerprint> others = List.of(
                    Fingerprint.of("v", "POST", "h", "/a/1?x", new byte[] {1}),
                    Fingerprint.of("w", "PUT", "h", "/a/1?x", new byte[] {1}),
                    Fingerprint.of("w", "POST", "g", "/a/1?x", new byte[] {1}),
                    Fingerprint.of("w", "POST", "h", "/a/1", new byte[] {1}),
                    Fingerprint.of("w", "POST", "h", "/a/1?x", new byte[] {2}),
                    Fingerprint.of("", "wPOST", "h", "/a/1?x", new byte[] {1}));
            assertThat(others.contains(one), is(false));
            assertThat(one.toString().length(), is(32));
        }
    }
}
