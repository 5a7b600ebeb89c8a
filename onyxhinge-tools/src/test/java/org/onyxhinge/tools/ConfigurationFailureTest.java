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
 * Configuration, and requests that need the key-value service, while that service is down, slow, loses
 * replies or forgets its history, while a router is paused, and while operators race.
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
                .ready(2);
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
        void keepsServingAndRefusesHonestlyWhatItCannotRecord() throws Exception {
            site.kvFaults(true, 0, 0);
            Outcome draft = send(draft());
            Outcome print = send(print("down-1"));
            site.kvFaults(false, 0, 0);
            assertThat(draft.whole(), is(true));
            assertThat(print.errorType(), equalTo("store_unavailable"));
            assertThat(print.notRun(), is(true));
            assertThat(print.retryAfterMs(), greaterThan(0L));
            assertThat(site.stats("p1").getJsonArray("keys").contains("down-1"), is(false));
            TestSite.await(
                    "the same key runs once the service is back",
                    () -> send(print("down-1")).whole());
        }

        @Test
        void aWatchRefusedInAnOutageIsMadeAgain() throws Exception {
            site.kvFaults(true, 0, 0);
            site.router("r3");
            TestSite.await(
                    "r3 tries to load its configuration",
                    () -> site.kvStats().getJsonObject("calls").getLong("Range", 0L) > 6);
            site.kvFaults(false, 0, 0);
            TestSite.await("r3 has the configuration in force", () -> inForce("r3", revision("r1")));
            put("r1", "after-outage", 7, 0);
            TestSite.await("r3 hears of changes", () -> inForce("r3", revision("r1")));
        }
    }

    @Nested
    class RepliesLost {

        @Test
        void aWriteWhoseReplyIsLostIsAppliedOnceAndReported() throws Exception {
            site.kvFaults(false, 0, 100);
            PutReply reply = Launch.await(put("r1", "lost-reply", 5, 0), TestSite.CALL_MS);
            Outcome print = send(print("lost-1", "night-batch"));
            Outcome urgent = send(print("lost-2", "print-slot"));
            site.kvFaults(false, 0, 0);
            assertThat("the claim outlasts the tier's budget", urgent.errorType(), equalTo("store_unavailable"));
            assertThat(urgent.notRun(), is(true));
            assertThat(reply.getVersion(), equalTo(1L));
            assertThat("claimed although the reply was lost", print.whole(), is(true));
            assertThat(site.stats("p1").getLong("keysRunTwice"), equalTo(0L));
            assertThat(site.stats("p1").getJsonArray("keys").contains("lost-2"), is(false));
            TestSite.await(
                    "the claim is given back",
                    () -> send(print("lost-2", "print-slot")).whole());
        }
    }

    @Nested
    class OperatorsRace {

        @Test
        void oneWinsEachVersionAndTheOtherIsTold() throws Exception {
            for (int version = 0; version < 5; version++) {
                List<Future<PutReply>> both = List.of(
                        put("r1", "contested", 10 + version, version), put("r2", "contested", 20 + version, version));
                Launch.await(Future.join(both).otherwiseEmpty(), TestSite.CALL_MS);
                long won = both.stream().filter(Future::succeeded).count();
                assertThat("winners of version " + version, won, equalTo(1L));
            }
            TestSite.await("both routers agree", () -> revision("r1") == revision("r2"));
        }
    }

    @Nested
    class RouterPaused {

        @Test
        void takesWhatItMissedAndNeverGoesBack() throws Exception {
            long before = revision("r2");
            site.pause("r2");
            Launch.await(put("r1", "while-paused", 3, 0), TestSite.CALL_MS);
            Launch.await(put("r1", "while-paused", 4, 1), TestSite.CALL_MS);
            site.kvCompact();
            site.resume("r2");
            List<Long> seen = new ArrayList<>(List.of(before));
            TestSite.await("r2 has the newest configuration", () -> {
                seen.add(revision("r2"));
                return inForce("r2", revision("r1"));
            });
            assertThat(
                    "revisions in force, in order",
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

    private boolean inForce(String router, long revision) {
        return revisionOrNone(router) >= revision;
    }

    /** The revision in force, or -1 while the router does not answer yet. */
    private long revisionOrNone(String router) {
        try {
            return revision(router);
        } catch (IllegalStateException e) {
            return -1;
        }
    }

    private Outcome send(WorkItem item) {
        return Launch.await(driver.send(item), TestSite.CALL_MS);
    }

    private static WorkItem draft() {
        return new WorkItem(0, "account-staff", "print-slot", "draft-letter", "c", 20, 10, 10, "", false);
    }

    private static WorkItem print(String key) {
        return print(key, "print-slot");
    }

    private static WorkItem print(String key, String tier) {
        return new WorkItem(0, "printers-night", tier, "print-instruction", "", 0, 10, 1, key, true);
    }
}
