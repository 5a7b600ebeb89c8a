package org.onyxhinge.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.WorkItem;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * End-to-end test with separate processes on loopback: key-value, engine and service stand-ins, two agents and a
 * router, each in its own JVM. The outcomes of a session of requests are compared with a golden file.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTest {

    private static final Path GOLDEN = Path.of("src/test/resources/golden/whole-path.txt");

    private final List<String> transcript = new ArrayList<>();
    private TestSite site;
    private Driver driver;

    @BeforeAll
    void startSite() throws Exception {
        site = TestSite.start("whole-path")
                .engine("e1", "--prefill", "20000", "--decode", "200")
                .service("p1", 5)
                .router("r1")
                .awaitReady(2);
        driver = site.driver("r1");
    }

    @AfterAll
    void stopSite() throws Exception {
        if (site != null) {
            site.close();
        }
    }

    @Nested
    @TestMethodOrder(MethodOrderer.OrderAnnotation.class)
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class Session {

        @Test
        @Order(1)
        void streamsCompleteResponse() {
            Outcome o = send(new WorkItem(
                    0, "account-staff", "print-slot", "draft-letter", "campaign-1", 40, 12, 24, "", false));
            assertThat(o.complete(), is(true));
            assertThat(o.tokens(), equalTo(24));
            assertThat(o.requestId(), containsString("r1-"));
        }

        @Test
        @Order(2)
        void runsNonIdempotentCallOnceAndRefusesRepeatAsNotRun() {
            WorkItem print = new WorkItem(
                    0, "printers-night", "print-slot", "print-instruction", "", 0, 20, 1, "env-0001", true);
            Outcome first = send(print);
            Outcome again = send(print);
            assertThat(first.complete(), is(true));
            assertThat(again.status(), equalTo(409));
            assertThat(again.errorType(), equalTo("already_run"));
            assertThat(again.notRun(), is(true));
            assertThat(site.stats("p1").getLong("keysRunTwice"), equalTo(0L));
        }

        @Test
        @Order(3)
        void refusesUnknownWorkspaceAsNotRun() {
            Outcome o = send(new WorkItem(0, "nobody", "print-slot", "draft-letter", "", 0, 5, 4, "", false));
            assertThat(o.status(), equalTo(404));
            assertThat(o.errorType(), equalTo("unknown_workspace"));
            assertThat(o.notRun(), is(true));
        }

        @Test
        @Order(4)
        void sessionMatchesGoldenFile() throws IOException {
            String actual = String.join("\n", transcript) + "\n";
            if (Boolean.getBoolean("onyxhinge.golden.update")) {
                Files.writeString(GOLDEN, actual);
            }
            assertThat(actual, equalTo(Files.readString(GOLDEN)));
        }
    }

    private Outcome send(WorkItem item) {
        Outcome o = Launch.await(driver.send(item), TestSite.CALL_TIMEOUT_MS);
        transcript.add(item.service() + " ws=" + item.workspace() + " tier=" + item.tier() + " -> status=" + o.status()
                + " whole=" + o.complete() + " tokens=" + o.tokens() + " error=" + o.errorType() + " notRun="
                + o.notRun()
                + " text=" + o.text().replaceAll("r1-[a-z0-9]+-[0-9]+", "<id>"));
        return o;
    }
}
