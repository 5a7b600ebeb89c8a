package org.onyxhinge.tools;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
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

/** Processes that are killed, paused or terminated while requests are in progress. */
class ProcessFailureTest {

    private static final int LONG_RESPONSE_TOKENS = 200;

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
        void requestsOnAKilledEngineFailAndAreNotRetried() throws Exception {
            site = TestSite.start("kill-engine")
                    .engine("e1", "--decode", "50")
                    .engine("e2", "--decode", "50")
                    .router("r1")
                    .awaitReady(2);
            Driver driver = site.driver("r1");
            List<Future<Outcome>> sent = sendNightBatch(driver, 8, LONG_RESPONSE_TOKENS);
            TestSite.await("both engines are running requests", () -> running("e1") > 0 && running("e2") > 0);
            site.kill("e1");
            List<Outcome> outcomes = awaitAll(sent);
            long failed = outcomes.stream()
                    .filter(o -> o.errorType().equals("target_failed") && !o.notRun())
                    .count();
            long completeCount = outcomes.stream()
                    .filter(o -> o.complete() && o.tokens() == LONG_RESPONSE_TOKENS)
                    .count();
            assertThat(failed, greaterThan(0L));
            assertThat("every request either failed or completed", failed + completeCount, equalTo(8L));
            assertThat(site.stats("e2").getLong("requestsSeenTwice"), equalTo(0L));
            assertThat(
                    "no failed request was sent to the other engine",
                    site.stats("e2").getLong("requestsSeen"),
                    equalTo(completeCount));
        }

        @Test
        void targetOfAKilledAgentGetsNoNewRequests() throws Exception {
            site = TestSite.start("kill-agent")
                    .engine("e1", "--decode", "200")
                    .engine("e2", "--decode", "200")
                    .router("r1")
                    .awaitReady(2);
            Driver driver = site.driver("r1");
            site.kill("agent-e1");
            TestSite.await("r1 stops using the silent engine", () -> silentMs("r1", "e1") > 1_600);
            long before = site.stats("e1").getLong("requestsSeen");
            List<Outcome> outcomes = awaitAll(sendNightBatch(driver, 12, 10));
            assertThat(outcomes.stream().map(Outcome::complete).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), equalTo(before));
        }

        @Test
        void keyOfARequestOnAKilledRouterRunsOnce() throws Exception {
            site = TestSite.start("kill-router")
                    .service("p1", 1_000)
                    .router("r1")
                    .router("r2")
                    .awaitReady(1);
            WorkItem print = printItem("killed-1");
            Future<Outcome> first = site.driver("r1").send(print);
            TestSite.await("r1 has dispatched the request", () -> inFlight("r1") > 0);
            site.kill("r1");
            assertThat(
                    "the call on the killed router fails",
                    awaitAll(List.of(first)).get(0).complete(),
                    is(false));
            Outcome again = Launch.await(site.driver("r2").send(print), TestSite.CALL_TIMEOUT_MS);
            assertThat(again.errorType(), equalTo("already_run"));
            assertThat(site.stats("p1").getLong("keysRunTwice"), equalTo(0L));
        }
    }

    @Nested
    class PlannedStop {

        @Test
        void drainingRouterCompletesItsRequestsAndRefusesNewOnesAsNotRun() throws Exception {
            site = TestSite.start("drain-router")
                    .engine("e1", "--decode", "100")
                    .router("r1")
                    .awaitReady(1);
            Driver driver = site.driver("r1");
            List<Future<Outcome>> sent = sendNightBatch(driver, 4, LONG_RESPONSE_TOKENS);
            TestSite.await("all requests are running", () -> running("e1") == 4);
            Process router = site.terminate("r1");
            TestSite.await("r1 is draining", () -> site.state("r1").getBoolean("draining"));
            Outcome late = Launch.await(driver.send(nightBatchItem(10)), TestSite.CALL_TIMEOUT_MS);
            assertThat(late.errorType(), equalTo("draining"));
            assertThat(late.notRun(), is(true));
            for (Outcome o : awaitAll(sent)) {
                assertThat(o.complete(), is(true));
                assertThat(o.tokens(), equalTo(LONG_RESPONSE_TOKENS));
            }
            assertThat(router.waitFor(30, TimeUnit.SECONDS), is(true));
        }

        @Test
        void drainingAgentExitsOnlyWhenItsTargetIsIdleAndTheTargetGetsNoNewRequests() throws Exception {
            site = TestSite.start("drain-agent")
                    .engine("e1", "--decode", "100")
                    .engine("e2", "--decode", "100")
                    .router("r1")
                    .awaitReady(2);
            Driver driver = site.driver("r1");
            List<Future<Outcome>> sent = sendNightBatch(driver, 8, LONG_RESPONSE_TOKENS);
            TestSite.await("both engines are running requests", () -> running("e1") > 0 && running("e2") > 0);
            Process agent = site.terminate("agent-e1");
            TestSite.await("r1 sees e1 draining", () -> draining("r1", "e1"));
            long before = site.stats("e1").getLong("requestsSeen");
            List<Outcome> later = awaitAll(sendNightBatch(driver, 6, 10));
            assertThat(later.stream().map(Outcome::complete).toList(), everyItem(is(true)));
            assertThat(
                    "requests received by the draining target",
                    site.stats("e1").getLong("requestsSeen"),
                    equalTo(before));
            assertThat(awaitAll(sent).stream().map(Outcome::complete).toList(), everyItem(is(true)));
            assertThat(agent.waitFor(30, TimeUnit.SECONDS), is(true));
            assertThat(site.stats("e1").getLong("cancelled"), equalTo(0L));
        }

        @Test
        void targetOnALeavingVmGetsNoNewRequests() throws Exception {
            site = TestSite.start("vm-list");
            int vmList = site.vmList(300);
            site.engine("e1", "--decode", "100").engine("e2", "--decode", "100");
            site.kill("agent-e1");
            site.agent("e1", "drafting", "[vm_list]", "vm_id = vm-e1", "port = " + vmList, "interval_ms = 100");
            site.router("r1").awaitReady(2);
            site.post(vmList, "/vms/vm-e1?state=leaving");
            TestSite.await("r1 sees e1 draining", () -> draining("r1", "e1"));
            List<Outcome> outcomes = awaitAll(sendNightBatch(site.driver("r1"), 6, 10));
            assertThat(outcomes.stream().map(Outcome::complete).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), equalTo(0L));
        }
    }

    @Nested
    class EnginePaused {

        @Test
        void getsNoNewRequestsUntilItResumes() throws Exception {
            site = TestSite.start("pause-engine")
                    .engine("e1", "--decode", "100")
                    .engine("e2", "--decode", "100")
                    .router("r1")
                    .awaitReady(2);
            Driver driver = site.driver("r1");
            site.pause("e1");
            TestSite.await("r1 stops using the silent engine", () -> silentMs("r1", "e1") > 1_600);
            List<Outcome> meanwhile = awaitAll(sendNightBatch(driver, 6, 10));
            site.resume("e1");
            TestSite.await("r1 receives load reports of e1 again", () -> silentMs("r1", "e1") < 1_000);
            assertThat(meanwhile.stream().map(Outcome::complete).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), equalTo(0L));
            List<Outcome> after = awaitAll(sendNightBatch(driver, 8, 10));
            assertThat(after.stream().map(Outcome::complete).toList(), everyItem(is(true)));
            assertThat(site.stats("e1").getLong("requestsSeen"), greaterThan(0L));
        }
    }

    @Nested
    class RouterPaused {

        private static final int CALLERS = 40;

        /** Guards against requests that are sent on before the ends of their callers' connections are read. */
        @Test
        void requestsOfCallersThatLeftAreNotSent() throws Exception {
            site = TestSite.start("pause-beside-agent")
                    .service("p1", 10)
                    .router("r1")
                    .awaitReady(1);
            Outcome before = Launch.await(site.driver("r1").send(printItem("before")), TestSite.CALL_TIMEOUT_MS);
            assertThat(before.complete(), is(true));
            site.pause("r1");
            List<Socket> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Socket caller = new Socket("127.0.0.1", site.callerPort("r1"));
                caller.getOutputStream().write(printRequest("left-" + i));
                callers.add(caller);
            }
            for (Socket caller : callers) {
                caller.close();
            }
            Thread.sleep(700);
            site.resume("r1");
            Outcome after = Launch.await(site.driver("r1").send(printItem("after")), TestSite.CALL_TIMEOUT_MS);
            assertThat(after.complete(), is(true));
            Thread.sleep(1_000);
            assertThat(site.stats("p1").getLong("executions"), equalTo(2L));
        }

        private static byte[] printRequest(String key) {
            return String.join(
                            "\r\n",
                            "POST /v1/calls/print-instruction HTTP/1.1",
                            "Host: r1",
                            "X-Onyx-Workspace: printers-night",
                            "X-Onyx-Tier: print-slot",
                            "Idempotency-Key: " + key,
                            "Content-Length: 2",
                            "",
                            "{}")
                    .getBytes(StandardCharsets.US_ASCII);
        }
    }

    @Nested
    class PausedPastItsLease {

        @Test
        void staleOrderIsFencedEvenWhenTheTargetIgnoresTokens() throws Exception {
            site = TestSite.start("fencing")
                    .engine("e1")
                    .engine("e2", "--checks-fencing")
                    .router("r1")
                    .router("r2")
                    .awaitReady(2);
            site.kvFaults(false, 700, 0);
            Future<OrderPoolReply> stale = site.admin("r1").order("drafting", OrderKind.LOAD_MODEL, "model-old");
            TestSite.await(
                    "the order lease of r1 is stored",
                    () -> site.kvStats().getJsonArray("prefixes").contains("orders/"));
            site.pause("r1");
            site.kvFaults(false, 0, 0);
            TestSite.await(
                    "the order lease of r1 has expired",
                    () -> !site.kvStats().getJsonArray("prefixes").contains("orders/"));
            OrderPoolReply fresh = Launch.await(
                    site.admin("r2").order("drafting", OrderKind.LOAD_MODEL, "model-new"), TestSite.CALL_TIMEOUT_MS);
            site.resume("r1");
            OrderPoolReply old = Launch.await(stale, TestSite.CALL_TIMEOUT_MS);
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
                    .awaitReady(1);
            List<Future<Outcome>> low = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                low.add(site.driver("r1").send(nightBatchItem(LONG_RESPONSE_TOKENS)));
            }
            TestSite.await("the engine is full of low-tier requests of r1", () -> running("e1") == 2);
            TestSite.await("r2 sees the requests of r1", () -> othersInFlight("r2", "e1") == 2);
            Outcome high = Launch.await(site.driver("r2").send(draftItem(10)), TestSite.CALL_TIMEOUT_MS);
            assertThat("r1 preempts a request for the higher tier of r2: " + high, high.complete(), is(true));
            assertThat(site.stats("e1").getLong("cancelled"), equalTo(1L));
            site.pause("r1");
            TestSite.await(
                    "r2 sees at least one request of another router on e1", () -> othersInFlight("r2", "e1") >= 1);
            Outcome other = Launch.await(site.driver("r2").send(draftItem(10)), TestSite.CALL_TIMEOUT_MS);
            site.resume("r1");
            assertThat("completed or refused, not timed out", other.status(), is(not(0)));
            awaitAll(low);
        }
    }

    private static List<String> statuses(OrderPoolReply reply) {
        return reply.getResultsList().stream().map(TargetOrderResult::getStatus).toList();
    }

    private List<Future<Outcome>> sendNightBatch(Driver driver, int n, int tokens) {
        List<Future<Outcome>> sent = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            sent.add(driver.send(nightBatchItem(tokens)));
        }
        return sent;
    }

    private static List<Outcome> awaitAll(List<Future<Outcome>> sent) {
        List<Outcome> out = new ArrayList<>();
        sent.forEach(f -> out.add(Launch.await(f, 2 * TestSite.CALL_TIMEOUT_MS)));
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

    private static WorkItem draftItem(int tokens) {
        return new WorkItem(0, "account-staff", "print-slot", "draft-letter", "c", 20, 10, tokens, "", false);
    }

    private static WorkItem nightBatchItem(int tokens) {
        return new WorkItem(0, "printers-night", "night-batch", "draft-letter", "c", 20, 10, tokens, "", false);
    }

    private static WorkItem printItem(String key) {
        return new WorkItem(0, "printers-night", "print-slot", "print-instruction", "", 0, 10, 1, key, true);
    }
}
