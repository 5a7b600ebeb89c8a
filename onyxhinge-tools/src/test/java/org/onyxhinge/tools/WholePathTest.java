package org.onyxhinge.tools;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.Message;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;
import org.onyxhinge.agent.cli.AgentMain;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.router.admin.SetupFile;
import org.onyxhinge.router.cli.RouterMain;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.tools.demo.Ports;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.WorkItem;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * The whole path as separate processes on loopback: key-value, engine and service stand-ins, two
 * agents and a router, each its own JVM. A session of requests is compared with a golden file.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTest {

    private static final Path GOLDEN = Path.of("src/test/resources/golden/whole-path.txt");
    private static final long CALL_MS = 30_000;

    private final int kvPort = Ports.free();
    private final int enginePort = Ports.free();
    private final int servicePort = Ports.free();
    private final int httpPort = Ports.free();
    private final int adminPort = Ports.free();
    private Processes processes;
    private Vertx vertx;
    private Driver driver;
    private final List<String> transcript = new ArrayList<>();

    @BeforeAll
    void startSite() throws Exception {
        Path dir = Files.createDirectories(Path.of("target", "whole-path"));
        processes = new Processes(dir);
        processes.java(
                "kv", ToolsMain.class, "standin", "kv", "--port", "" + kvPort, "--control-port", "" + Ports.free());
        processes.java(
                "engine",
                ToolsMain.class,
                "standin",
                "engine",
                "--id",
                "e1",
                "--port",
                "" + enginePort,
                "--prefill",
                "20000",
                "--decode",
                "200");
        processes.java(
                "service", ToolsMain.class, "standin", "service", "--port", "" + servicePort, "--latency-ms", "5");
        Processes.awaitPort(kvPort);
        processes.java(
                "router",
                RouterMain.class,
                "run",
                "--config",
                write(dir, "router.ini", routerIni()).toString());
        processes.java(
                "agent-e1",
                AgentMain.class,
                "run",
                "--config",
                write(dir, "agent-e1.ini", agentIni("e1", "drafting", enginePort))
                        .toString());
        processes.java(
                "agent-p1",
                AgentMain.class,
                "run",
                "--config",
                write(dir, "agent-p1.ini", agentIni("p1", "print-house", servicePort))
                        .toString());
        Processes.awaitPort(adminPort);
        vertx = Vertx.vertx();
        List<Message> setup = Settings.load(Path.of("../examples/postvirki/setup.ini"))
                .flatMap(SetupFile::read)
                .get();
        try (AdminClient admin = AdminClient.create(vertx, "127.0.0.1", adminPort)) {
            Launch.await(admin.apply(setup), CALL_MS);
        }
        Processes.awaitPort(httpPort);
        awaitEngines(2);
        driver = Driver.create(vertx, "127.0.0.1", httpPort, CALL_MS);
    }

    @AfterAll
    void stopSite() throws Exception {
        if (driver != null) {
            driver.close();
        }
        if (processes != null) {
            processes.close();
        }
        if (vertx != null) {
            Launch.await(vertx.close(), CALL_MS);
        }
    }

    @Nested
    @TestMethodOrder(MethodOrderer.OrderAnnotation.class)
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class Session {

        @Test
        @Order(1)
        void streamsTheWholeAnswerToItsCaller() {
            Outcome o = send(new WorkItem(
                    0, "account-staff", "print-slot", "draft-letter", "campaign-1", 40, 12, 24, "", false));
            assertThat(o.whole(), is(true));
            assertThat(o.tokens(), equalTo(24));
            assertThat(o.requestId(), containsString("r1-"));
        }

        @Test
        @Order(2)
        void runsANonIdempotentCallOnceAndRefusesTheRepeatHonestly() {
            WorkItem print = new WorkItem(
                    0, "printers-night", "print-slot", "print-instruction", "", 0, 20, 1, "env-0001", true);
            Outcome first = send(print);
            Outcome again = send(print);
            assertThat(first.whole(), is(true));
            assertThat(again.status(), equalTo(409));
            assertThat(again.errorType(), equalTo("already_run"));
            assertThat(again.notRun(), is(true));
            assertThat(serviceStats().getLong("keysRunTwice"), equalTo(0L));
        }

        @Test
        @Order(3)
        void refusesUnknownNamesAndSaysItDidNotRun() {
            Outcome o = send(new WorkItem(0, "nobody", "print-slot", "draft-letter", "", 0, 5, 4, "", false));
            assertThat(o.status(), equalTo(404));
            assertThat(o.errorType(), equalTo("unknown_workspace"));
            assertThat(o.notRun(), is(true));
        }

        @Test
        @Order(4)
        void matchesTheGoldenSession() throws IOException {
            String actual = String.join("\n", transcript) + "\n";
            if (Boolean.getBoolean("onyxhinge.golden.update")) {
                Files.writeString(GOLDEN, actual);
            }
            assertThat(actual, equalTo(Files.readString(GOLDEN)));
        }
    }

    private Outcome send(WorkItem item) {
        Outcome o = Launch.await(driver.send(item), CALL_MS);
        transcript.add(item.service() + " ws=" + item.workspace() + " tier=" + item.tier() + " -> status=" + o.status()
                + " whole=" + o.whole() + " tokens=" + o.tokens() + " error=" + o.errorType() + " notRun=" + o.notRun()
                + " text=" + o.text().replaceAll("r1-[a-z0-9]+-[0-9]+", "<id>"));
        return o;
    }

    private JsonObject serviceStats() {
        return Launch.await(
                vertx.createHttpClient()
                        .request(HttpMethod.GET, servicePort, "127.0.0.1", "/stats")
                        .compose(req -> req.send().compose(resp -> resp.body()))
                        .map(b -> new JsonObject(b.toString())),
                CALL_MS);
    }

    private void awaitEngines(int count) throws InterruptedException {
        long until = System.currentTimeMillis() + 60_000;
        var http = vertx.createHttpClient();
        while (System.currentTimeMillis() < until) {
            JsonObject dump = Launch.await(
                    http.request(HttpMethod.GET, httpPort, "127.0.0.1", "/debug/state")
                            .compose(req -> req.send().compose(resp -> resp.body()))
                            .map(b -> new JsonObject(b.toString())),
                    CALL_MS);
            JsonArray engines =
                    dump.getJsonObject("scheduler", new JsonObject()).getJsonArray("engines", new JsonArray());
            if (engines.size() >= count) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("router did not see " + count + " targets");
    }

    private String routerIni() {
        return String.join(
                "\n",
                "[router]",
                "id = r1",
                "data_centre = test",
                "http_port = " + httpPort,
                "admin_port = " + adminPort,
                "drain_timeout_ms = 5000",
                "[kv]",
                "port = " + kvPort,
                "");
    }

    private String agentIni(String id, String pool, int port) {
        return String.join(
                "\n",
                "[agent]",
                "id = agent-" + id,
                "data_centre = test",
                "status_port = " + Ports.free(),
                "peer_port = " + Ports.free(),
                "report_interval_ms = 100",
                "drain_timeout_ms = 5000",
                "[target]",
                "id = " + id,
                "pool = " + pool,
                "port = " + port,
                "[kv]",
                "port = " + kvPort,
                "");
    }

    private static Path write(Path dir, String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text, StandardCharsets.UTF_8);
    }
}
