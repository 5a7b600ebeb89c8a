package org.onyxhinge.core.place;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

class PlacementTest {

    private static final String SERVICE = "writers";
    private static final int SLOTS = 3;

    private final Placement placement = Placement.create("here");

    private Target target(String id, String dataCentre, boolean ready) {
        return new Target(id, 0, SERVICE, "", "10.0.0.1", 80, dataCentre, SLOTS, ready, 0);
    }

    private Call call(int rank, long nowMs) {
        return Call.of(SERVICE, nowMs)
                .rank(rank, false)
                .times(nowMs + 400, nowMs + 1_000)
                .work(600, 40)
                .build();
    }

    private Verdict.Send sent(Verdict v) {
        assertThat(v, instanceOf(Verdict.Send.class));
        return (Verdict.Send) v;
    }

    private List<Verdict.Send> fill(int n) {
        List<Verdict.Send> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            out.add(sent(placement.submit(call(1, 0), 0)));
        }
        return out;
    }

    /** Submits calls that keep a target full, with one ending each time, so that the rate of freed slots is known. */
    private void runThroughput(int n, long everyMs) {
        Deque<Verdict.Send> running = new ArrayDeque<>();
        for (int i = 0; i < n; i++) {
            long nowMs = i * everyMs;
            if (running.size() == SLOTS) {
                end(running.poll(), nowMs);
            }
            running.add(sent(placement.submit(call(1, nowMs), nowMs)));
        }
        running.forEach(s -> end(s, (n - 1) * everyMs));
    }

    private void end(Verdict.Send s, long nowMs) {
        placement.ended(s.call(), s.target(), false, nowMs);
    }

    @Nested
    class Slots {

        @Test
        void sendsNoMoreThanTargetSlots() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(50, 20);
            fill(SLOTS);
            assertThat(placement.submit(call(1, 1_000), 1_000), instanceOf(Verdict.Wait.class));
        }

        @Test
        void callsOfPeersOccupySlots() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(50, 20);
            placement.peerUses("other", Map.of("a", new TargetUse(SLOTS, 0)));
            assertThat(placement.submit(call(1, 1_000), 1_000), instanceOf(Verdict.Wait.class));
            placement.peerUses("other", Map.of("a", new TargetUse(SLOTS - 1, 0)));
            assertThat(placement.pump(1_010), hasSize(1));
            placement.peerUses("other", Map.of());
            sent(placement.submit(call(1, 1_020), 1_020));
        }

        @Test
        void peerUseAppliesToTargetRegisteredLater() {
            placement.peerUses("other", Map.of("a", new TargetUse(2, 500)));
            placement.targetSeen(target("a", "here", true));
            assertThat(placement.target("a").orElseThrow().calls(), is(2));
        }

        @Test
        void prefersEqualTargetInSameDataCentre() {
            placement.targetSeen(target("far", "there", true));
            placement.targetSeen(target("near", "here", true));
            assertThat(fill(1).getFirst().target().info().id(), is("near"));
        }

        @Test
        void prefersFasterTarget() {
            placement.targetSeen(target("slow", "here", true));
            placement.targetSeen(target("fast", "here", true));
            placement.target("slow").orElseThrow().recordGap(300);
            placement.target("fast").orElseThrow().recordGap(25);
            assertThat(fill(1).getFirst().target().info().id(), is("fast"));
        }

        @Test
        void avoidsTargetWithLongPromptAhead() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("b", "here", true));
            Call large = Call.of(SERVICE, 0).times(800, 1_400).work(50_000, 40).build();
            TargetState first = sent(placement.submit(large, 0)).target();
            assertThat(fill(1).getFirst().target(), is(not(first)));
        }

        /** Guards against a penalty for the first failing targets in the list that leaves none for the worst one. */
        @Test
        void penalizesWorstOfSeveralFailingTargets() {
            for (String id : List.of("a", "b", "c", "d", "worst")) {
                placement.targetSeen(target(id, "here", true));
            }
            failing("a", 12);
            failing("worst", 20);
            // Expected to respond first of all, so that only the penalty keeps calls away from it.
            placement.target("worst").orElseThrow().recordGap(1);
            placement.target("b").orElseThrow().recordGap(100);
            assertThat(fill(1).getFirst().target().info().id(), is(not("worst")));
        }

        private void failing(String id, int failures) {
            for (int i = 0; i < failures; i++) {
                placement.answered(placement.target(id).orElseThrow(), false, 0);
            }
        }

        @Test
        void doesNotTryATargetTwice() {
            placement.targetSeen(target("a", "here", true));
            Call again = Call.of(SERVICE, 0)
                    .times(400, 1_000)
                    .work(1, 1)
                    .avoid(Set.of("a"))
                    .build();
            assertThat(placement.submit(again, 0), not(instanceOf(Verdict.Send.class)));
        }
    }

    /**
     * A target that restarts under its id has none of its previous state; one whose registration lapsed has all of it.
     */
    @Nested
    class Restart {

        private Target started(long startedAtMs) {
            return new Target("a", startedAtMs, SERVICE, "", "10.0.0.1", 80, "here", SLOTS, true, 0);
        }

        @Test
        void callsOfOldIncarnationOccupyNoSlotsOfNewOne() {
            placement.targetSeen(started(1_000));
            fill(SLOTS);
            placement.peerUses("other", Map.of("a@1000", new TargetUse(2, 500)));
            placement.targetSeen(started(2_000));
            TargetState current = placement.target("a@2000").orElseThrow();
            assertThat(current.calls(), is(0));
            placement.peerGone("other");
            assertThat(fill(SLOTS), hasSize(SLOTS));
            assertThat(placement.targets(), hasSize(1));
        }

        @Test
        void resetsPaceFailuresAndPause() {
            placement.targetSeen(started(1_000));
            TargetState previous = placement.target("a@1000").orElseThrow();
            previous.recordGap(5_000);
            placement.unreachable(previous, 10);
            placement.targetSeen(started(2_000));
            Verdict.Send sent = sent(placement.submit(call(1, 20), 20));
            assertThat(sent.target().failureRate(), is(0.0));
            assertThat(sent.target(), is(not(previous)));
        }

        @Test
        void callOfOldIncarnationFreesNoSlotOfNewOne() {
            placement.targetSeen(started(1_000));
            Verdict.Send before = fill(1).getFirst();
            placement.targetSeen(started(2_000));
            fill(SLOTS);
            placement.ended(before.call(), before.target(), false, 5);
            assertThat(placement.target("a@2000").orElseThrow().calls(), is(SLOTS));
        }

        @Test
        void reregisteredTargetKeepsItsCalls() {
            placement.targetSeen(started(1_000));
            fill(SLOTS);
            placement.targetGone("a");
            placement.peerUses("other", Map.of("a@1000", new TargetUse(1, 0)));
            placement.targetSeen(started(1_000));
            TargetState reregistered = placement.target("a@1000").orElseThrow();
            assertThat(reregistered.ownCalls(), is(SLOTS));
            assertThat(reregistered.calls(), is(SLOTS + 1));
            placement.peerUses("other", Map.of());
            assertThat(reregistered.calls(), is(SLOTS));
        }

        @Test
        void peerGoneMeanwhileIsNotCountedAfterReregistration() {
            placement.targetSeen(started(1_000));
            placement.peerUses("other", Map.of("a@1000", new TargetUse(2, 0)));
            placement.targetGone("a");
            placement.peerUses("other", Map.of());
            placement.targetSeen(started(1_000));
            assertThat(placement.target("a@1000").orElseThrow().calls(), is(0));
        }
    }

    @Nested
    class Draining {

        @Test
        void drainingTargetGetsNoCalls() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("a", "here", false));
            assertThat(placement.submit(call(0, 0), 0), instanceOf(Verdict.Refuse.class));
        }

        @Test
        void waitingCallsAreNotSentToIt() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(50, 20);
            List<Verdict.Send> running = fill(SLOTS);
            placement.submit(call(0, 1_000), 1_000);
            placement.targetSeen(target("a", "here", false));
            placement.ended(running.getFirst().call(), running.getFirst().target(), false, 1_010);
            assertThat(placement.pump(1_010), is(empty()));
        }

        @Test
        void unregisteredTargetIsForgottenWhileItsCallsEnd() {
            placement.targetSeen(target("a", "here", true));
            Verdict.Send s = fill(1).getFirst();
            placement.targetGone("a");
            assertThat(s.target().takesCalls(), is(false));
            placement.ended(s.call(), s.target(), false, 10);
            assertThat(placement.targets(), is(empty()));
        }
    }

    @Nested
    class Queueing {

        private Call timed(int rank, boolean isRetry, long firstByteDeadlineMs) {
            return Call.of(SERVICE, 1_000)
                    .rank(rank, isRetry)
                    .times(firstByteDeadlineMs, 3_000)
                    .work(1, 1)
                    .build();
        }

        @Test
        void lateCallsYieldToCallsThatCanBeOnTime() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("b", "here", true));
            runThroughput(100, 10);
            List<Verdict.Send> running = fill(2 * SLOTS);
            Call late = timed(1, false, 1_005);
            Call retry = timed(1, true, 1_005);
            Call onTime = timed(1, false, 1_800);
            Call onTimeToo = timed(1, false, 1_800);
            Call urgent = timed(0, false, 1_005);
            Call lowest = timed(2, false, 1_800);
            for (Call c : List.of(lowest, late, retry, onTime, onTimeToo, urgent)) {
                assertThat(placement.submit(c, 1_002), instanceOf(Verdict.Wait.class));
            }
            running.forEach(s -> placement.ended(s.call(), s.target(), false, 1_010));
            List<Call> order = placement.pump(1_010).stream().map(Verdict::call).toList();
            assertThat(order, is(List.of(urgent, onTime, onTimeToo, retry, late, lowest)));
        }

        @Test
        void ordersByRankThenRetriesThenArrival() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(100, 10);
            List<Verdict.Send> running = fill(SLOTS);
            Call late = call(1, 1_000);
            Call retry = Call.of(SERVICE, 1_001)
                    .rank(1, true)
                    .times(1_400, 2_000)
                    .work(1, 1)
                    .build();
            Call urgent = call(0, 1_002);
            for (Call c : List.of(late, retry, urgent)) {
                assertThat(placement.submit(c, 1_002), instanceOf(Verdict.Wait.class));
            }
            running.forEach(s -> placement.ended(s.call(), s.target(), false, 1_010));
            List<Call> order = placement.pump(1_010).stream().map(Verdict::call).toList();
            assertThat(order, is(List.of(urgent, retry, late)));
        }

        @Test
        void refusesBurstOnceExpectedWaitIsTooLong() {
            // Three times the capacity for one second: calls that can start in time are queued, the rest are refused at
            // once.
            placement.targetSeen(target("a", "here", true));
            runThroughput(100, 10);
            fill(SLOTS);
            int waiting = 0;
            long retryMs = 0;
            for (int i = 0; i < 300; i++) {
                Verdict v = placement.submit(call(1, 1_000 + i), 1_000 + i);
                waiting += v instanceof Verdict.Wait ? 1 : 0;
                retryMs = v instanceof Verdict.Refuse r ? r.retryAfterMs() : retryMs;
            }
            assertThat(waiting, is(greaterThan(20)));
            assertThat(waiting, is(lessThan(150)));
            assertThat(retryMs, is(greaterThan(300L)));
        }

        @Test
        void refusesCallAtItsQueueDeadline() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(100, 10);
            fill(SLOTS);
            placement.submit(call(1, 1_000), 1_000);
            assertThat(placement.pump(1_999), is(empty()));
            assertThat(placement.pump(2_000).getFirst(), instanceOf(Verdict.Refuse.class));
        }

        @Test
        void withdrawnCallIsForgotten() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(100, 10);
            List<Verdict.Send> running = fill(SLOTS);
            Call c = call(1, 1_000);
            placement.submit(c, 1_000);
            placement.withdraw(c);
            placement.ended(running.getFirst().call(), running.getFirst().target(), false, 1_010);
            assertThat(placement.pump(1_010), is(empty()));
        }
    }

    /** Several routers in front of the same full targets, each with queued calls of different ranks. */
    @Nested
    class PeersWithMoreUrgentCalls {

        private final List<String> reserved = new ArrayList<>();
        private final Placement here = Placement.create(
                "self", "here", PlacementSettings.defaults(), (peer, target) -> reserved.add(peer + " " + target));

        /** Queued calls of one rank that can still be on time, as reported by a peer. */
        private Map<String, Map<Integer, Integer>> waiting(int rank, int calls) {
            return Map.of(SERVICE, Map.of(Precedence.of(rank, true), calls));
        }

        private List<Verdict.Send> fillAllSlots() {
            here.targetSeen(target("a", "here", true));
            List<Verdict.Send> running = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                running.add(sent(here.submit(call(1, 0), 0)));
            }
            assertThat(here.submit(call(1, 0), 0), instanceOf(Verdict.Wait.class));
            return running;
        }

        private void end(Verdict.Send s, long nowMs) {
            here.ended(s.call(), s.target(), false, nowMs);
        }

        @Test
        void freedSlotIsReservedForPeerWithMoreUrgentCall() {
            List<Verdict.Send> running = fillAllSlots();
            here.peerWaiting("p", waiting(0, 1));
            end(running.getFirst(), 10);
            assertThat(here.pump(10), is(empty()));
            assertThat(reserved, is(List.of("p a")));
            assertThat(
                    "the reservation is reported to peers",
                    running.getFirst().target().claimedCalls(10),
                    is(SLOTS));
        }

        @Test
        void reservesNoMoreSlotsThanPeerHasCalls() {
            List<Verdict.Send> running = fillAllSlots();
            here.peerWaiting("p", Map.of(SERVICE, Map.of(Precedence.of(0, true), 1, Precedence.of(2, true), 9)));
            end(running.get(0), 10);
            end(running.get(1), 10);
            assertThat(here.pump(10), hasSize(1));
            assertThat(reserved, hasSize(1));
        }

        @Test
        void reservationExpiresWhenUnused() {
            List<Verdict.Send> running = fillAllSlots();
            here.peerWaiting("p", waiting(0, 1));
            end(running.getFirst(), 10);
            here.pump(10);
            here.peerWaiting("p", Map.of());
            assertThat(here.pump(100), hasSize(1));
        }

        @Test
        void slotGoesToPeerWithMostUrgentCall() {
            List<Verdict.Send> running = fillAllSlots();
            here.peerWaiting("p", waiting(0, 5));
            here.peerWaiting("q", waiting(-1, 1));
            end(running.getFirst(), 10);
            here.pump(10);
            assertThat(reserved, is(List.of("q a")));
        }

        @Test
        void callsOfSameRankKeepTheirSlots() {
            List<Verdict.Send> running = fillAllSlots();
            here.peerWaiting("p", waiting(1, 50));
            end(running.getFirst(), 10);
            assertThat(here.pump(10), hasSize(1));
            assertThat(reserved, is(empty()));
        }

        @Test
        void reservedSlotIsUsedWhilePeerStillClaimsIt() {
            fillAllSlots();
            here.peerUses("p", Map.of("a", new TargetUse(1, 0)));
            assertThat(here.pump(20), is(empty()));
            here.slotReserved("a", 20);
            assertThat("own calls and the claim of the peer fill all slots", here.pump(20), is(empty()));
            here.slotReserved("a", 20);
            assertThat(here.pump(20), hasSize(1));
            assertThat("a reservation can be used once", here.pump(20), is(empty()));
        }
    }

    /** One target produces an event in 25 ms, the other in 250 ms; responses differ in length by a factor of 100. */
    @Nested
    class AnswersOfDifferentLength {

        private Call ofEvents(long events) {
            return Call.of(SERVICE, 0)
                    .rank(1, false)
                    .times(400, 1_000)
                    .responseDeadline(10_000)
                    .work(600, events)
                    .build();
        }

        private Verdict.Send occupyFastTarget() {
            placement.targetSeen(target("slow", "here", true));
            placement.targetSeen(target("fast", "here", true));
            for (int i = 0; i < 50; i++) {
                placement.target("slow").orElseThrow().recordGap(250);
                placement.target("fast").orElseThrow().recordGap(25);
            }
            List<Verdict.Send> running = fill(SLOTS);
            running.forEach(s -> assertThat(s.target().info().id(), is("fast")));
            return running.getFirst();
        }

        @Test
        void longAnswerWaitsForTargetThatFinishesInTime() {
            Verdict.Send running = occupyFastTarget();
            Call longAnswer = ofEvents(100);
            assertThat(placement.submit(longAnswer, 0), instanceOf(Verdict.Wait.class));
            placement.ended(running.call(), running.target(), false, 10);
            Verdict.Send s = sent(placement.pump(10).getFirst());
            assertThat(s.call(), is(longAnswer));
            assertThat(s.target().info().id(), is("fast"));
        }

        @Test
        void shortAnswerOvertakesWaitingLongOne() {
            occupyFastTarget();
            Call shortAnswer = ofEvents(4);
            placement.submit(ofEvents(100), 0);
            assertThat(placement.submit(shortAnswer, 0), instanceOf(Verdict.Wait.class));
            assertThat(sent(placement.pump(1).getFirst()).call(), is(shortAnswer));
        }

        @Test
        void answerThatNoTargetFinishesTakesAnyFreeSlot() {
            occupyFastTarget();
            assertThat(
                    sent(placement.submit(ofEvents(100_000), 0)).target().info().id(), is("slow"));
        }
    }

    /** A prompt is read between the events of concurrent streams, which pause for that time. */
    @Nested
    class LongPrompts {

        private static final long LONG_PROMPT = 9_000;

        private Call ofPrompt(long tokens) {
            return Call.of(SERVICE, 0)
                    .rank(1, false)
                    .times(800, 1_400)
                    .gapTarget(300)
                    .work(tokens, 40)
                    .build();
        }

        @Test
        void isNotSentWhereItStallsStreams() {
            placement.targetSeen(target("slow", "here", true));
            placement.targetSeen(target("fast", "here", true));
            for (int i = 0; i < 50; i++) {
                placement.target("slow").orElseThrow().learnFirstByte(1_100, 10_000);
                placement.target("slow").orElseThrow().recordGap(100);
                placement.target("fast").orElseThrow().recordGap(20);
                placement.target("fast").orElseThrow().learnFirstByte(200, 10_000);
            }
            fill(SLOTS).forEach(s -> assertThat(s.target().info().id(), is("fast")));
            assertThat(placement.submit(ofPrompt(LONG_PROMPT), 0), instanceOf(Verdict.Wait.class));
            placement.submit(ofPrompt(600), 0);
            Verdict.Send s = sent(placement.pump(0).getFirst());
            assertThat(s.call().promptTokens(), is(600L));
            assertThat(s.target().info().id(), is("slow"));
        }
    }

    @Nested
    class Health {

        @Test
        void unreachableTargetIsPausedThenProbedByOneCall() {
            placement.targetSeen(target("a", "here", true));
            runThroughput(50, 1);
            Verdict.Send s = fill(1).getFirst();
            placement.unreachable(s.target(), 0);
            placement.ended(s.call(), s.target(), false, 0);
            assertThat(placement.submit(call(0, 100), 100), not(instanceOf(Verdict.Send.class)));
            assertThat(placement.pump(300), hasSize(1));
            assertThat(placement.submit(call(0, 310), 310), not(instanceOf(Verdict.Send.class)));
        }

        @Test
        void routerWithoutCompletedCallsStillQueues() {
            placement.targetSeen(target("a", "here", true));
            placement.peerUses("other", Map.of("a", new TargetUse(SLOTS, 0)));
            Call call = Call.of(SERVICE, 0).times(800, 4_000).work(600, 40).build();
            assertThat(placement.submit(call, 0), instanceOf(Verdict.Wait.class));
        }

        @Test
        void failingTargetIsTheLastChoice() {
            for (String id : List.of("a", "b", "c")) {
                placement.targetSeen(target(id, "here", true));
            }
            for (int i = 0; i < 20; i++) {
                placement.answered(placement.target("a").orElseThrow(), false, i);
                placement.answered(placement.target("b").orElseThrow(), true, i);
                placement.answered(placement.target("c").orElseThrow(), true, i);
            }
            List<String> used =
                    fill(2 * SLOTS).stream().map(s -> s.target().info().id()).toList();
            assertThat(used.contains("a"), is(false));
            assertThat(fill(1).getFirst().target().info().id(), is("a"));
        }

        @Test
        void sheddingTargetIsPaused() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("b", "here", true));
            placement.shed(placement.target("a").orElseThrow(), 0, 0);
            assertThat(fill(1).getFirst().target().info().id(), is("b"));
        }

        /** Guards against calls that wait, or are told to come back too soon, while every target pauses. */
        @Test
        void callIsRefusedAtOnceWhileAllTargetsPauseForLong() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("b", "here", true));
            placement.shed(placement.target("a").orElseThrow(), 0, 3_000);
            placement.shed(placement.target("b").orElseThrow(), 0, 2_000);
            Verdict verdict = placement.submit(call(1, 100), 100);
            assertThat(verdict, instanceOf(Verdict.Refuse.class));
            assertThat(((Verdict.Refuse) verdict).retryAfterMs(), greaterThan(1_899L));
            assertThat(
                    sent(placement.submit(call(1, 2_000), 2_000))
                            .target()
                            .info()
                            .id(),
                    is("b"));
        }

        /** Guards against a call that waits for a pausing target although another one has a free slot. */
        @Test
        void callIsSentToTheTargetThatDoesNotPause() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("b", "here", true));
            placement.shed(placement.target("a").orElseThrow(), 0, 3_000);
            List<String> used =
                    fill(SLOTS).stream().map(s -> s.target().info().id()).toList();
            assertThat(used.contains("a"), is(false));
        }

        /** Guards against bytes of other calls on a busy target that end the pause after its refusal. */
        @Test
        void sheddingTargetStaysPausedWhileItsOtherCallsGoOn() {
            placement.targetSeen(target("a", "here", true));
            placement.targetSeen(target("b", "here", true));
            placement.shed(placement.target("a").orElseThrow(), 0, 0);
            placement.heard(placement.target("a").orElseThrow(), 0);
            assertThat(fill(1).getFirst().target().info().id(), is("b"));
        }
    }
}
