package org.onyxhinge.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.api.v1.OrderPoolReply;
import org.onyxhinge.api.v1.TargetOrderResult;
import org.onyxhinge.core.order.OrderKind;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.WorkItem;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Processes killed, paused and stopped while requests are in progress. */
class ProcessFailureTest {

    private static final int LONG_ANSWER = 200;

    private TestSite site;

    @AfterEach
    void stopSite() throws Exception {
        if (site != null) {
            site.close();
        }
    }

    @Nested
    class Killed {

        @Test
        void anEngineKilledMidAnswerIsReportedAndItsRequestsNeverRunAgain() throws Exception {
            site = TestSite.start("kill-engine")
                    .engine("e1", "--decode", "50")
                    .engine("e2", "--decode", "50")
                    .router("r1")
                    .ready(2);
            Driver driver = site.driver("r1");
            List<Future<Outcome>> sent = start(driver, 8, LONG_ANSWER);
            TestSite.await("both engines run requests", () -> running("e1") > 0 && running("e2") > 0);
            site.kill("e1");
            List<Outcome> outcomes = all(sent);
            long failed = outcomes.stream()
                    .filter(o -> o.errorType().equals("target_failed") && !o.notRun())
                    .count();
            long whole = outcomes.stream()
                    .filter(o -> o.whole() && o.tokens() == LONG_ANSWER)
                    .count();
            assertThat(failed, greaterThan(0L));
            assertThat("every caller was answered", failed + whole, equalTo(8L));
            assertThat(site.stats("e2").getLong("requestsSeenTwice"), equalTo(0L));
            assertThat(
                    "none of the failed ones was sent to the other engine",
                    site.stats("e2").getLong("requestsSeen"),
                    equalTo(whole));
        }

        @Test
        void aTargetWhoseAgentIsKilledGetsNoNewWork() throws Exception {
            site = TestSite.start("kill-agent")
                    .engine("e1", "--decode", "200")
                    .engine("e2", "--decode", "200")
                    .router("r1")
                    .ready(2);
            Driver driver = site.driver("r1");
            site.kill("agent-e1");
            TestSite.await("r1 takes the silent engine out", () -> silentMs("r1", "e1") > 1_600);
            long before = site.stats("e1").getLong("requestsSeen");
            List<Outcome> outcomes = all(start(driver, 12, 10));
            assertThat(outcomes.stream().map(Outcome::whole).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), equalTo(before));
        }

        @Test
        void aRouterKilledMidRequestNeverLetsItsKeyRunTwice() throws Exception {
            site = TestSite.start("kill-router")
                    .service("p1", 1_000)
                    .router("r1")
                    .router("r2")
                    .ready(1);
            WorkItem print = print("killed-1");
            Future<Outcome> first = site.driver("r1").send(print);
            TestSite.await("r1 has sent it", () -> inFlight("r1") > 0);
            site.kill("r1");
            assertThat(
                    "its caller is not left waiting", all(List.of(first)).get(0).whole(), is(false));
            Outcome again = Launch.await(site.driver("r2").send(print), TestSite.CALL_MS);
            assertThat(again.errorType(), equalTo("already_run"));
            assertThat(site.stats("p1").getLong("keysRunTwice"), equalTo(0L));
        }
    }

    @Nested
    class PlannedStop {

        @Test
        void aRouterFinishesWhatItHasAndRefusesNewWorkHonestly() throws Exception {
            site = TestSite.start("drain-router")
                    .engine("e1", "--decode", "100")
                    .router("r1")
                    .ready(1);
            Driver driver = site.driver("r1");
            List<Future<Outcome>> sent = start(driver, 4, LONG_ANSWER);
            TestSite.await("requests run", () -> running("e1") == 4);
            Process router = site.terminate("r1");
            TestSite.await("r1 drains", () -> site.state("r1").getBoolean("draining"));
            Outcome late = Launch.await(driver.send(night(10)), TestSite.CALL_MS);
            assertThat(late.errorType(), equalTo("draining"));
            assertThat(late.notRun(), is(true));
            for (Outcome o : all(sent)) {
                assertThat(o.whole(), is(true));
                assertThat(o.tokens(), equalTo(LONG_ANSWER));
            }
            assertThat(router.waitFor(30, TimeUnit.SECONDS), is(true));
        }

        @Test
        void anAgentEndsOnlyWhenItsTargetIsIdleAndTheTargetGetsNothingNew() throws Exception {
            site = TestSite.start("drain-agent")
                    .engine("e1", "--decode", "100")
                    .engine("e2", "--decode", "100")
                    .router("r1")
                    .ready(2);
            Driver driver = site.driver("r1");
            List<Future<Outcome>> sent = start(driver, 8, LONG_ANSWER);
            TestSite.await("both run requests", () -> running("e1") > 0 && running("e2") > 0);
            Process agent = site.terminate("agent-e1");
            TestSite.await("r1 sees it leave", () -> draining("r1", "e1"));
            long before = site.stats("e1").getLong("requestsSeen");
            List<Outcome> later = all(start(driver, 6, 10));
            assertThat(later.stream().map(Outcome::whole).toList(), everyItem(is(true)));
            assertThat("new work", site.stats("e1").getLong("requestsSeen"), equalTo(before));
            assertThat(all(sent).stream().map(Outcome::whole).toList(), everyItem(is(true)));
            assertThat(agent.waitFor(30, TimeUnit.SECONDS), is(true));
            assertThat(site.stats("e1").getLong("cancelled"), equalTo(0L));
        }

        @Test
        void aTargetTheVmListShowsLeavingGetsNothingNew() throws Exception {
            site = TestSite.start("vm-list");
            int vmList = site.vmList(300);
            site.engine("e1", "--decode", "100").engine("e2", "--decode", "100");
            site.kill("agent-e1");
            site.agent("e1", "drafting", "[vm_list]", "vm_id = vm-e1", "port = " + vmList, "interval_ms = 100");
            site.router("r1").ready(2);
            site.post(vmList, "/vms/vm-e1?state=leaving");
            TestSite.await("r1 sees it leave", () -> draining("r1", "e1"));
            List<Outcome> outcomes = all(start(site.driver("r1"), 6, 10));
            assertThat(outcomes.stream().map(Outcome::whole).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), equalTo(0L));
        }
    }

    @Nested
    class EnginePaused {

        @Test
        void getsNoNewWorkAndComesBackWhenItGoesOn() throws Exception {
            site = TestSite.start("pause-engine")
                    .engine("e1", "--decode", "100")
                    .engine("e2", "--decode", "100")
                    .router("r1")
                    .ready(2);
            Driver driver = site.driver("r1");
            site.pause("e1");
            TestSite.await("r1 takes the silent engine out", () -> silentMs("r1", "e1") > 1_600);
            List<Outcome> meanwhile = all(start(driver, 6, 10));
            site.resume("e1");
            TestSite.await("r1 hears it again", () -> silentMs("r1", "e1") < 1_000);
            assertThat(meanwhile.stream().map(Outcome::whole).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), equalTo(0L));
            List<Outcome> after = all(start(driver, 8, 10));
            assertThat(after.stream().map(Outcome::whole).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), greaterThan(0L));
        }
    }

    @Nested
    class PausedPastItsLease {

        @Test
        void aRoutersOrderIsFencedEvenByAnAgentWhoseTargetIgnoresTokens() throws Exception {
            site = TestSite.start("fencing")
                    .engine("e1")
                    .engine("e2", "--checks-fencing")
                    .router("r1")
                    .router("r2")
                    .ready(2);
            site.kvFaults(false, 700, 0);
            Future<OrderPoolReply> stale = site.admin("r1").order("drafting", OrderKind.LOAD_MODEL, "model-old");
            TestSite.await(
                    "r1's lease write is in the store",
                    () -> site.kvStats().getJsonArray("prefixes").contains("orders/"));
            site.pause("r1");
            site.kvFaults(false, 0, 0);
            TestSite.await(
                    "its lease has lapsed",
                    () -> !site.kvStats().getJsonArray("prefixes").contains("orders/"));
            OrderPoolReply fresh = Launch.await(
                    site.admin("r2").order("drafting", OrderKind.LOAD_MODEL, "model-new"), TestSite.CALL_MS);
            site.resume("r1");
            OrderPoolReply old = Launch.await(stale, TestSite.CALL_MS);
            assertThat(statuses(fresh), everyItem(is("DONE")));
            assertThat(statuses(old), everyItem(is("FENCED")));
            assertThat(old.getResultsCount(), equalTo(2));
            for (String engine : List.of("e1", "e2")) {
                JsonObject stats = site.stats(engine);
                assertThat(stats.getJsonObject("inForce").getString("load-model"), equalTo("model-new"));
                assertThat(stats.getLong("ordersTaken"), equalTo(1L));
            }
        }

        @Test
        void aPausedRouterHoldsUpNobodyElse() throws Exception {
            site = TestSite.start("pause-router")
                    .engine("e1", "--max-batch", "2", "--decode", "50")
                    .router("r1")
                    .router("r2")
                    .ready(1);
            List<Future<Outcome>> low = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                low.add(site.driver("r1").send(night(LONG_ANSWER)));
            }
            TestSite.await("r1 fills the engine with low-tier work", () -> running("e1") == 2);
            TestSite.await("r2 knows", () -> othersInFlight("r2", "e1") == 2);
            Outcome high = Launch.await(site.driver("r2").send(draft(10)), TestSite.CALL_MS);
            assertThat("r1 makes room for r2's higher tier: " + high, high.whole(), is(true));
            assertThat(site.stats("e1").getLong("cancelled"), equalTo(1L));
            site.pause("r1");
            TestSite.await("the freed slot is taken again or seen", () -> othersInFlight("r2", "e1") >= 1);
            Outcome other = Launch.await(site.driver("r2").send(draft(10)), TestSite.CALL_MS);
            site.resume("r1");
            assertThat("answered or refused, not left waiting", other.status(), is(not(0)));
            all(low);
        }
    }

    private static List<String> statuses(OrderPoolReply reply) {
        return reply.getResultsList().stream().map(TargetOrderResult::getStatus).toList();
    }

    private List<Future<Outcome>> start(Driver driver, int n, int tokens) {
        List<Future<Outcome>> sent = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            sent.add(driver.send(night(tokens)));
        }
        return sent;
    }

    private static List<Outcome> all(List<Future<Outcome>> sent) {
        List<Outcome> out = new ArrayList<>();
        sent.forEach(f -> out.add(Launch.await(f, 2 * TestSite.CALL_MS)));
        return out;
    }

    private long running(String engine) {
        return site.stats(engine).getLong("running");
    }

    private int inFlight(String router) {
        return site.state(router).getJsonObject("flights").getInteger("dispatched", 0);
    }

    private JsonObject engine(String router, String engineId) {
        return site.engines(router).stream()
                .map(JsonObject.class::cast)
                .filter(e -> e.getString("engineId").equals(engineId))
                .findFirst()
                .orElse(new JsonObject());
    }

    private boolean draining(String router, String engineId) {
        return engine(router, engineId).getBoolean("draining", false);
    }

    private int othersInFlight(String router, String engineId) {
        return engine(router, engineId).getInteger("othersInFlight", 0);
    }

    private long silentMs(String router, String engineId) {
        return engine(router, engineId).getLong("silentMs", 0L);
    }

    private static WorkItem draft(int tokens) {
        return new WorkItem(0, "account-staff", "print-slot", "draft-letter", "c", 20, 10, tokens, "", false);
    }

    private static WorkItem night(int tokens) {
        return new WorkItem(0, "printers-night", "night-batch", "draft-letter", "c", 20, 10, tokens, "", false);
    }

    private static WorkItem print(String key) {
        return new WorkItem(0, "printers-night", "print-slot", "print-instruction", "", 0, 10, 1, key, true);
    }
}
