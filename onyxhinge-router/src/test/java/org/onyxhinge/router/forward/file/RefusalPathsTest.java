package org.onyxhinge.router.forward.file;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Ways in which a non-repeatable call ends without a target's answer; see {@code docs/design/refusals.md}. Each test
 * guards against a status that promises a caller that its call has not run although it may have, or against a refused
 * call that reaches a target.
 */
class RefusalPathsTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final String SOON_MS = "400";

    private final Vertx vertx = Vertx.vertx();
    private final int port = Ports.free();
    private final TestCaller caller = TestCaller.create(vertx, port);
    /** Calls that have reached a target. */
    private final List<HttpServerRequest> calls = new CopyOnWriteArrayList<>();

    private HttpServer target() {
        return await(vertx.createHttpServer().requestHandler(this::answer).listen(0, "127.0.0.1"));
    }

    /** Answers as the call's path says; "hold" is not answered. */
    private void answer(HttpServerRequest request) {
        calls.add(request);
        switch (request.path()) {
            case "/print/not-run" ->
                request.response()
                        .setStatusCode(503)
                        .putHeader(OnyxCallProtocol.NOT_RUN, "1")
                        .end();
            case "/print/hold" -> {}
            default ->
                request.response()
                        .setStatusCode(Integer.parseInt(request.path().substring("/print/".length())))
                        .end("busy");
        }
    }

    private ForwardingNode start(String text) {
        return await(ForwardingNode.start(vertx, SingleTargetConfig.read(text)));
    }

    private String oneSlotAt(int targetPort) {
        return SingleTargetConfig.text(port, targetPort, "", "")
                .replace("service = mailroom\n", "service = mailroom\nslots = 1\n");
    }

    private ForwardingNode startWithTarget() {
        return start(oneSlotAt(target().actualPort()));
    }

    private Future<TestCaller.Answer> send(String path, String... headers) {
        return caller.post("/print/" + path, "k1", headers);
    }

    private int statusOf(String path, String... headers) {
        return await(send(path, headers)).status();
    }

    private Future<TestCaller.Answer> sendHeld() {
        Future<TestCaller.Answer> answer = send("hold");
        Conditions.await(() -> calls.size() == 1, TIMEOUT_MS);
        return answer;
    }

    private static <T> T await(Future<T> f) {
        return Launch.await(f, TIMEOUT_MS);
    }

    @AfterEach
    void close() {
        await(vertx.close());
    }

    @Nested
    class NotSent {

        @Test
        void deadlineInTheQueueIs503() {
            startWithTarget();
            sendHeld();
            assertThat(statusOf("200", OnyxCallProtocol.DEADLINE_MS, SOON_MS), is(503));
            assertThat(calls, hasSize(1));
        }

        @Test
        void overloadedRouterIs503() {
            startWithTarget();
            TestCaller.Answer answer = await(send("200", OnyxCallProtocol.DEADLINE_MS, "1"));
            assertThat(answer.status(), is(503));
            assertThat(answer.body(), is("not run: starved\n"));
            assertThat(calls, hasSize(0));
        }

        @Test
        void unreachableTargetIs503() {
            start(oneSlotAt(Ports.free()));
            assertThat(statusOf("200", OnyxCallProtocol.DEADLINE_MS, SOON_MS), is(503));
        }

        @Test
        void shutdownWhileQueuedIs503() {
            String text = oneSlotAt(target().actualPort());
            ForwardingNode node = start(text.replace("id = r1", "id = r1\ndrain_timeout_ms = 1000"));
            sendHeld();
            Future<TestCaller.Answer> queued = send("200");
            Conditions.await(() -> await(node.dump()).getInteger("exchanges") == 2, TIMEOUT_MS);
            node.drain();
            assertThat(await(queued).status(), is(503));
            assertThat(calls, hasSize(1));
        }

        @Test
        void quotaIs429() {
            String quota = "quota_per_second = 1\nquota_burst = 1";
            start(SingleTargetConfig.text(port, target().actualPort(), "", quota));
            int sent = 0;
            while (statusOf("200") == 200) {
                sent++;
            }
            assertThat(statusOf("200"), is(429));
            assertThat(calls, hasSize(sent));
        }
    }

    @Nested
    class NotRunByTarget {

        @ParameterizedTest
        @ValueSource(strings = {"not-run", "421"})
        void statementOfTheTargetIs503(String path) {
            startWithTarget();
            assertThat(statusOf(path), is(503));
            assertThat(calls, hasSize(1));
        }
    }

    @Nested
    class MayHaveRun {

        @ParameterizedTest
        @ValueSource(strings = {"408", "429", "503"})
        void statusWithoutStatementOfTheTargetIs502(String path) {
            startWithTarget();
            assertThat(statusOf(path), is(502));
            assertThat(calls, hasSize(1));
        }

        /** Three targets end while they run the same call; the fourth is still running it, a fifth call waits. */
        @Test
        void quarantineWhileRunningIs502AndWhileQueuedIs503() {
            List<HttpServer> targets = List.of(target(), target(), target(), target());
            StringBuilder text = new StringBuilder(oneSlotAt(targets.get(0).actualPort()));
            for (int i = 1; i < targets.size(); i++) {
                text.append("\n[target x" + i + "]\nservice = mailroom\nslots = 1\naddress = 127.0.0.1:"
                        + targets.get(i).actualPort());
            }
            ForwardingNode node = start(text.toString());
            List<Future<TestCaller.Answer>> running = List.of(send("hold"), send("hold"), send("hold"), send("hold"));
            Conditions.await(() -> calls.size() == running.size(), TIMEOUT_MS);
            Future<TestCaller.Answer> queued = send("hold");
            Conditions.await(() -> await(node.dump()).getInteger("exchanges") == 5, TIMEOUT_MS);
            targets.subList(0, 3).forEach(t -> await(t.close()));
            running.forEach(r -> assertThat(await(r).status(), is(502)));
            assertThat(await(queued).status(), is(503));
            assertThat(await(send("hold")).body(), is("not run: quarantined\n"));
            assertThat(calls, hasSize(running.size()));
        }
    }
}
