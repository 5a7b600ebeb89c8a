package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Calls that continue a stream, which only targets of one version can do. */
class ContinuedStreamTest {

    private static final String SERVICE = "writers";
    private static final int SLOTS = 4;

    private final Placement placement = Placement.create("here");

    private void target(String id, String version) {
        placement.targetSeen(new Target(id, 0, SERVICE, version, "10.0.0.1", 80, "here", SLOTS, true, 0));
    }

    private static Call call(Optional<String> version, long nowMs, String... avoid) {
        return Call.of(SERVICE, nowMs)
                .rank(1, false)
                .times(nowMs + 400, nowMs + 1_000)
                .work(600, 40)
                .avoid(Set.of(avoid))
                .version(version)
                .build();
    }

    private Verdict begin(long nowMs) {
        return placement.submit(call(Optional.empty(), nowMs), nowMs);
    }

    private Verdict resume(String version, long nowMs, String... avoid) {
        return placement.submit(call(Optional.of(version), nowMs, avoid), nowMs);
    }

    private static String version(Verdict v) {
        return ((Verdict.Send) v).target().info().version();
    }

    private List<Verdict.Send> fill(int n) {
        List<Verdict.Send> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            out.add((Verdict.Send) begin(0));
        }
        return out;
    }

    private void end(Verdict.Send s, long nowMs) {
        placement.ended(s.call(), s.target(), false, nowMs);
    }

    @Nested
    class OfAVersionThatServes {

        /** Guards against a free slot of another version that is taken because it is closer or faster. */
        @Test
        void isSentToThatVersionOnly() {
            target("a", "v1");
            target("b", "v2");
            target("c", "v2");
            for (int i = 0; i < SLOTS; i++) {
                assertThat(version(resume("v1", 0)), is("v1"));
            }
            assertThat(resume("v1", 0), instanceOf(Verdict.Wait.class));
            assertThat(placement.pump(10), empty());
            Verdict other = begin(10);
            List<Verdict> verdicts = placement.pump(10);
            assertThat(verdicts.stream().map(Verdict::call).toList(), contains(other.call()));
            assertThat(version(verdicts.getFirst()), is("v2"));
        }

        /** Guards against a wait behind calls that want a slot of any version while one of its version is free. */
        @Test
        void passesCallsThatFindNoSlot() {
            target("a", "v1");
            target("b", "v2");
            List<Verdict.Send> running = fill(2 * SLOTS);
            placement.versionRoles(SERVICE, v -> v.equals("v1") ? TargetRole.REPLACED : TargetRole.SERVING);
            begin(10);
            Verdict waiting = resume("v1", 10);
            assertThat(waiting, instanceOf(Verdict.Wait.class));
            running.stream()
                    .filter(s -> s.target().info().version().equals("v1"))
                    .findFirst()
                    .ifPresent(s -> end(s, 20));
            List<Verdict> verdicts = placement.pump(20);
            assertThat(verdicts.stream().map(Verdict::call).toList(), contains(waiting.call()));
            assertThat(version(verdicts.getFirst()), is("v1"));
        }

        /** Guards against a long wait, refused at its end, for the one target that is left of a version. */
        @Test
        void isRefusedAtOnceWhereItsSlotsWouldComeTooLate() {
            target("a", "v1");
            for (int i = 0; i < 20; i++) {
                target("b" + i, "v2");
            }
            for (int i = 0; i < SLOTS; i++) {
                resume("v1", 0);
            }
            int refused = 0;
            for (int i = 0; i < 20; i++) {
                refused += resume("v1", 0) instanceof Verdict.Refuse ? 1 : 0;
            }
            assertThat(refused, greaterThanOrEqualTo(15));
        }
    }

    @Nested
    class OfAVersionThatIsReplaced {

        /** Guards against streams that are refused, and new calls that are accepted, by a version being replaced. */
        @Test
        void goesOnThereWhileNewCallsDoNot() {
            target("a", "v1");
            target("b", "v2");
            placement.versionRoles(SERVICE, v -> v.equals("v1") ? TargetRole.REPLACED : TargetRole.SERVING);
            for (int i = 0; i < SLOTS; i++) {
                assertThat(version(resume("v1", 0)), is("v1"));
                assertThat(version(begin(0)), is("v2"));
            }
        }

        /** Guards against calls to a version that was rolled back. */
        @Test
        void isRefusedOnceTheVersionIsWithheld() {
            target("a", "v1");
            target("b", "v2");
            placement.versionRoles(SERVICE, v -> v.equals("v1") ? TargetRole.WITHHELD : TargetRole.SERVING);
            assertThat(resume("v1", 0), instanceOf(Verdict.Refuse.class));
        }
    }

    @Nested
    class WithoutATarget {

        /** Guards against a caller that is told to come back for a version that has no target. */
        @Test
        void isRefusedWithoutATimeToRetry() {
            target("b", "v2");
            assertThat(((Verdict.Refuse) resume("v1", 0)).retryAfterMs(), is(0L));
        }

        /** Guards against a wait for the target that has just broken the stream. */
        @Test
        void isRefusedIfTheOnlyTargetOfItsVersionFailedIt() {
            target("a", "v1");
            target("b", "v2");
            assertThat(resume("v1", 0, "a"), instanceOf(Verdict.Refuse.class));
        }

        /** Guards against a wait until the deadline once the last target of the version has left. */
        @Test
        void isRefusedWhileItWaitsWhenTheLastOneLeaves() {
            target("a", "v1");
            target("b", "v2");
            fill(2 * SLOTS);
            Verdict waiting = resume("v1", 10);
            assertThat(waiting, instanceOf(Verdict.Wait.class));
            placement.targetGone("a");
            List<Verdict> verdicts = placement.pump(20);
            assertThat(verdicts.stream().map(Verdict::call).toList(), contains(waiting.call()));
            assertThat(verdicts.getFirst(), instanceOf(Verdict.Refuse.class));
        }
    }

    @Nested
    class InGroupsOfRouters {

        private final Placement grouped =
                Placement.create("r00", "here", PlacementSettings.defaults(), (peer, target) -> {});

        private void addRouters(int count) {
            for (int i = 1; i < count; i++) {
                String id = String.format("r%02d", i);
                grouped.routerSeen(id, i % 2 == 0 ? "here" : "there");
                grouped.peerUses(id, Map.of());
            }
        }

        /**
         * Guards against streams that no router of a group can continue, because the few targets of their version
         * belong to another group: 33 routers, 40 targets of a new version and two of the old one.
         */
        @Test
        void streamIsSentToATargetOfAnotherGroupIfItsOwnHasNone() {
            addRouters(33);
            for (int i = 0; i < 40; i++) {
                grouped.targetSeen(new Target("n" + i, 0, SERVICE, "v2", "10.0.0.1", 80, "here", SLOTS, true, 0));
            }
            for (int i = 0; i < 2; i++) {
                grouped.targetSeen(new Target("o" + i, 0, SERVICE, "v1", "10.0.0.1", 80, "there", SLOTS, true, 0));
            }
            Verdict first = grouped.submit(call(Optional.of("v1"), 0), 0);
            assertThat(version(first), is("v1"));
        }
    }

    @Nested
    class BesideOtherRouters {

        /**
         * Guards against slots that other routers keep free for streams that cannot use them: they know only ranks, and
         * would reserve slots of any version.
         */
        @Test
        void isNotAnnouncedAsACallThatAnySlotSuits() {
            placement.routerSeen("other", "here");
            placement.peerUses("other", Map.of());
            target("a", "v1");
            target("b", "v2");
            Verdict last = resume("v1", 0);
            for (int i = 0; i < SLOTS && last instanceof Verdict.Send; i++) {
                last = resume("v1", 0);
            }
            assertThat(last, instanceOf(Verdict.Wait.class));
            assertThat(placement.news(0).forRouter("other").waiting().getOrDefault(SERVICE, Map.of()), is(Map.of()));
        }
    }

    @Nested
    class InABurst {

        private static final int RESUMED = 60;
        private static final int CALL_MS = 400;
        private static final int STEP_MS = 10;

        /**
         * Load pattern: routers are killed, and 60 streams of a version with two targets left (8 of 52 slots) are taken
         * up within half a second while new calls use three quarters of all slots. At least half as large a part of them
         * must go on as of the new calls.
         */
        @Test
        void goesOnAtLeastHalfAsOftenAsNewCallsBegin() {
            target("a", "v1");
            target("b", "v1");
            for (int i = 0; i < 11; i++) {
                target("c" + i, "v2");
            }
            Share begun = new Share();
            Share resumed = new Share();
            for (int nowMs = 0; nowMs < 4_000; nowMs += STEP_MS) {
                endDue(nowMs);
                placement.pump(nowMs).forEach(v -> settled(v, begun, resumed));
                if (nowMs % 10 == 0) {
                    decided(begin(nowMs), begun, resumed, nowMs);
                }
                if (nowMs >= 1_000 && resumed.calls < RESUMED && nowMs % 10 == 0) {
                    decided(resume("v1", nowMs), begun, resumed, nowMs);
                }
            }
            assertThat(resumed.sentFraction(), greaterThanOrEqualTo(begun.sentFraction() / 2));
            assertThat(begun.sentFraction(), lessThan(1.01));
        }

        private final List<Verdict.Send> running = new ArrayList<>();
        private final List<Long> endsAtMs = new ArrayList<>();

        private void endDue(long nowMs) {
            for (int i = running.size() - 1; i >= 0; i--) {
                if (endsAtMs.get(i) <= nowMs) {
                    end(running.remove(i), nowMs);
                    endsAtMs.remove(i);
                }
            }
        }

        private void decided(Verdict v, Share begun, Share resumed, long nowMs) {
            (v.call().version().isPresent() ? resumed : begun).calls++;
            lastMs = nowMs;
            settled(v, begun, resumed);
        }

        private long lastMs;

        private void settled(Verdict v, Share begun, Share resumed) {
            if (v instanceof Verdict.Send s) {
                (v.call().version().isPresent() ? resumed : begun).sent++;
                running.add(s);
                endsAtMs.add(lastMs + CALL_MS);
            }
        }
    }

    /** Calls and how many of them were sent to a target. */
    private static final class Share {
        private int calls;
        private int sent;

        private double sentFraction() {
            return calls == 0 ? 1 : (double) sent / calls;
        }
    }
}
