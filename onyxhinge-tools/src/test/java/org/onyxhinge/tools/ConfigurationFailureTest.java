package org.onyxhinge.tools;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.onyxhinge.api.v1.PutReply;
import org.onyxhinge.api.v1.WorkspaceSpec;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.WorkItem;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Configuration changes, and requests that depend on the key-value service, during failures: the service is down, loses
 * replies or compacts its history, a router is paused, or operators write the same key concurrently.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ConfigurationFailureTest {

    private TestSite site;
    private Driver driver;

    @BeforeAll
    void startSite() throws Exception {
        site = TestSite.start("configuration")
                .engine("e1", "--prefill", "20000", "--decode", "200")
                .service("p1", 5)
                .router("r1")
                .router("r2")
                .awaitReady(2);
        driver = site.driver("r1", "r2");
    }

    @AfterAll
    void stopSite() throws Exception {
        if (site != null) {
            site.close();
        }
    }

    @Nested
    class ServiceDown {

        @Test
        void refusesUnrecordableCallsAsNotRunAndServesOthers() throws Exception {
            site.kvFaults(true, 0, 0);
            Outcome draft = send(draftItem());
            Outcome print = send(printItem("down-1"));
            site.kvFaults(false, 0, 0);
            assertThat(draft.complete(), is(true));
            assertThat(print.errorType(), equalTo("store_unavailable"));
            assertThat(print.notRun(), is(true));
            assertThat(print.retryAfterMs(), greaterThan(0L));
            assertThat(site.stats("p1").getJsonArray("keys").contains("down-1"), is(false));
            TestSite.await(
                    "the refused key runs after the service has recovered",
                    () -> send(printItem("down-1")).complete());
        }

        @Test
        void watchRefusedDuringOutageIsReestablished() throws Exception {
            site.kvFaults(true, 0, 0);
            site.router("r3");
            TestSite.await(
                    "r3 attempts to load the configuration",
                    () -> site.kvStats().getJsonObject("calls").getLong("Range", 0L) > 6);
            site.kvFaults(false, 0, 0);
            TestSite.await("r3 has applied the current configuration", () -> hasRevision("r3", revision("r1")));
            put("r1", "after-outage", 7, 0);
            TestSite.await("r3 applies the change received from its watch", () -> hasRevision("r3", revision("r1")));
        }
    }

    @Nested
    class RepliesLost {

        @Test
        void writeWithLostReplyIsAppliedOnceAndReported() throws Exception {
            site.kvFaults(false, 0, 100);
            PutReply reply = Launch.await(put("r1", "lost-reply", 5, 0), TestSite.CALL_TIMEOUT_MS);
            Outcome print = send(printItem("lost-1", "night-batch"));
            Outcome urgent = send(printItem("lost-2", "print-slot"));
            site.kvFaults(false, 0, 0);
            assertThat(
                    "claiming the key takes longer than the first-token budget of the tier",
                    urgent.errorType(),
                    equalTo("store_unavailable"));
            assertThat(urgent.notRun(), is(true));
            assertThat(reply.getVersion(), equalTo(1L));
            assertThat("key claimed despite the lost reply", print.complete(), is(true));
            assertThat(site.stats("p1").getLong("keysRunTwice"), equalTo(0L));
            assertThat(site.stats("p1").getJsonArray("keys").contains("lost-2"), is(false));
            TestSite.await(
                    "the claim on the key is released",
                    () -> send(printItem("lost-2", "print-slot")).complete());
        }
    }

    @Nested
    class OperatorsRace {

        @Test
        void exactlyOneWriteOfEachVersionSucceeds() throws Exception {
            for (int version = 0; version < 5; version++) {
                List<Future<PutReply>> both = List.of(
                        put("r1", "contested", 10 + version, version), put("r2", "contested", 20 + version, version));
                Launch.await(Future.join(both).otherwiseEmpty(), TestSite.CALL_TIMEOUT_MS);
                long winners = both.stream().filter(Future::succeeded).count();
                assertThat("successful writes of version " + version, winners, equalTo(1L));
            }
            TestSite.await("both routers have the same revision", () -> revision("r1") == revision("r2"));
        }
    }

    @Nested
    class RouterPaused {

        @Test
        void appliesMissedChangesAndNeverRevertsToAnOlderRevision() throws Exception {
            long before = revision("r2");
            site.pause("r2");
            Launch.await(put("r1", "while-paused", 3, 0), TestSite.CALL_TIMEOUT_MS);
            Launch.await(put("r1", "while-paused", 4, 1), TestSite.CALL_TIMEOUT_MS);
            site.kvCompact();
            site.resume("r2");
            List<Long> seen = new ArrayList<>(List.of(before));
            TestSite.await("r2 has applied the latest configuration", () -> {
                seen.add(revision("r2"));
                return hasRevision("r2", revision("r1"));
            });
            assertThat(
                    "revisions observed in ascending order",
                    seen,
                    equalTo(seen.stream().sorted().toList()));
        }
    }

    private Future<PutReply> put(String router, String workspace, int maxInFlight, long version) {
        AdminClient admin = site.admin(router);
        return admin.put(
                        WorkspaceSpec.newBuilder()
                                .setName(workspace)
                                .setMaxInFlight(maxInFlight)
                                .build(),
                        version)
                .onComplete(r -> admin.close());
    }

    private long revision(String router) {
        return site.state(router).getLong("configRevision");
    }

    private boolean hasRevision(String router, long revision) {
        return revisionIfReachable(router) >= revision;
    }

    /** Returns the applied revision, or -1 while the router does not respond yet. */
    private long revisionIfReachable(String router) {
        try {
            return revision(router);
        } catch (IllegalStateException e) {
            return -1;
        }
    }

    private Outcome send(WorkItem item) {
        return Launch.await(driver.send(item), TestSite.CALL_TIMEOUT_MS);
    }

    private static WorkItem draftItem() {
        return new WorkItem(0, "account-staff", "print-slot", "draft-letter", "c", 20, 10, 10, "", false);
    }

    private static WorkItem printItem(String key) {
        return printItem(key, "print-slot");
    }

    private static WorkItem printItem(String key, String tier) {
        return new WorkItem(0, "printers-night", tier, "print-instruction", "", 0, 10, 1, key, true);
    }
}
