package org.onyxhinge.core.place;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.limit.RetryBudget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Guards against what is learned of a route or service and kept after it has gone. */
class ForgottenNamesTest {

    private static final int VERSIONS = 1_000;
    private static final String KEPT = "kept";

    @Test
    void deadlinesOfRoutesThatAreGoneAreForgotten() {
        CallerDeadlines deadlines = CallerDeadlines.create();
        for (int i = 0; i < VERSIONS; i++) {
            deadlines.waitedBeforeMs(KEPT, 4_000, 0);
            deadlines.waitedBeforeMs("route-" + i, 1_000, 0);
            deadlines.retain(Set.of(KEPT));
        }
        assertThat(deadlines.size(), is(1));
        assertThat("still known", deadlines.waitedBeforeMs(KEPT, 1_000), greaterThan(2_000L));
    }

    @Test
    void responseLengthsOfRoutesThatAreGoneAreForgotten() {
        ResponseLengthEstimator lengths = new ResponseLengthEstimator();
        for (int i = 0; i < VERSIONS; i++) {
            lengths.ended(KEPT, 500, 0);
            lengths.ended("route-" + i, 1, 0);
            lengths.retain(Set.of(KEPT));
        }
        assertThat(lengths.size(), is(1));
        assertThat("still known", lengths.expectedEvents(KEPT, 0), greaterThan(400L));
    }

    @Test
    void requestsOfServicesThatAreGoneAreForgotten() {
        RetryBudget budget = RetryBudget.create(1, 0, 10_000);
        for (int i = 0; i < VERSIONS; i++) {
            budget.countRequest(KEPT, 0);
            budget.countRequest("service-" + i, 0);
            budget.retain(Set.of(KEPT));
        }
        assertThat(budget.size(), is(1));
        assertThat("still known", budget.tryRetry(KEPT, 1, 0), is(true));
    }

    @Nested
    class Services {

        private final Placement placement = Placement.create("here");

        private static Target target(String service) {
            return new Target("m-" + service, 0, service, "", "10.0.0.1", 80, "here", 1, true, 0);
        }

        private Verdict.Send send(String service) {
            return (Verdict.Send) placement.submit(Call.of(service, 0).build(), 0);
        }

        private void end(Verdict.Send sent) {
            placement.ended(sent.call(), sent.target(), true, 0);
        }

        @Test
        void withoutTargetsAreForgotten() {
            placement.targetSeen(target(KEPT));
            for (int i = 0; i < VERSIONS; i++) {
                String service = "service-" + i;
                placement.targetSeen(target(service));
                end(send(service));
                placement.targetGone(target(service).id());
                placement.retainServices(Set.of(KEPT));
            }
            assertThat(placement.serviceCount(), is(1));
            end(send(KEPT));
        }

        /** Guards against calls that are not counted any more, or can't end, since their service is not configured. */
        @Test
        void withCallsOrTargetsAreKept() {
            placement.targetSeen(target("running"));
            Verdict.Send running = send("running");
            placement.targetGone(target("running").id());
            placement.targetSeen(target("registered"));
            placement.retainServices(Set.of(KEPT));
            assertThat(placement.serviceCount(), is(2));
            end(running);
            end(send("registered"));
            placement.retainServices(Set.of(KEPT));
            assertThat(placement.serviceCount(), is(1));
        }

        /** Guards against a target that takes no calls because it belongs to a service that was forgotten. */
        @Test
        void thatReturnGetCalls() {
            placement.targetSeen(target(KEPT));
            placement.targetGone(target(KEPT).id());
            placement.retainServices(Set.of());
            placement.targetSeen(target(KEPT));
            assertThat(send(KEPT).target().info(), is(target(KEPT)));
        }
    }

    /** Guards against slots that a router without others keeps as taken, one for each call it ever sent. */
    @Test
    void slotsThatWereTakenAreForgotten() {
        Placement placement = Placement.create("here");
        placement.targetSeen(new Target("m1", 0, KEPT, "", "10.0.0.1", 80, "here", 2, true, 0));
        for (long nowMs = 0; nowMs < 100L * VERSIONS; nowMs += 100) {
            Verdict.Send first = send(placement, nowMs);
            Verdict.Send second = send(placement, nowMs);
            placement.ended(first.call(), first.target(), true, nowMs);
            placement.ended(second.call(), second.target(), true, nowMs);
            placement.pump(nowMs);
        }
        assertThat(placement.target("m1").orElseThrow().unannouncedCount(), is(lessThan(VERSIONS / 10)));
    }

    private static Verdict.Send send(Placement placement, long nowMs) {
        return (Verdict.Send) placement.submit(Call.of(KEPT, nowMs).build(), nowMs);
    }
}
