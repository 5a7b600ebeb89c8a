package org.onyxhinge.router.forward.file;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Three routers, two of them in one data centre. The first has no target and refuses every call. */
class RetryRecognitionTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final long DEADLINE_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final int[] ports = {Ports.free(), Ports.free(), Ports.free()};
    private final int[] peerPorts = {Ports.free(), Ports.free(), Ports.free()};
    private final String[] dataCentres = {"here", "here", "there"};
    private HttpServer target;

    @BeforeEach
    void startTarget() {
        target = Launch.await(
                vertx.createHttpServer()
                        .requestHandler(r -> r.response().end("done"))
                        .listen(0, "127.0.0.1"),
                TIMEOUT_MS);
    }

    private ForwardingNode start(int i, boolean recognize) {
        String text = SingleTargetConfig.text(ports[i], target.actualPort(), "", "")
                .replace("id = r1", "id = r" + i)
                .replace("data_centre = here", "data_centre = " + dataCentres[i])
                .replaceFirst("peer_listen = .*", "peer_listen = 127.0.0.1:" + peerPorts[i]);
        StringBuilder file = new StringBuilder(i == 0 ? text.replaceAll("(?s)\\[target m1].*?\\[work", "[work") : text);
        for (int j = 0; j < ports.length; j++) {
            if (j != i) {
                file.append("\n[peer r")
                        .append(j)
                        .append("]\naddress = 127.0.0.1:")
                        .append(peerPorts[j]);
                file.append("\ndata_centre = ").append(dataCentres[j]).append('\n');
            }
        }
        file.append("\n[contention]\nretry_recognition = ").append(recognize).append('\n');
        return Launch.await(ForwardingNode.start(vertx, SingleTargetConfig.read(file.toString())), TIMEOUT_MS);
    }

    private int call(int router, long deadlineMs) {
        return Launch.await(
                        TestCaller.create(vertx, ports[router])
                                .post("/print/1", "k1", OnyxCallProtocol.DEADLINE_MS, Long.toString(deadlineMs)),
                        TIMEOUT_MS)
                .status();
    }

    private static int refusalsKnownTo(ForwardingNode router) {
        return Launch.await(router.dump(), TIMEOUT_MS).getInteger("refusedRequests");
    }

    private static boolean isConnected(ForwardingNode router) {
        return Launch.await(router.dump(), TIMEOUT_MS).getDouble("routersHeardPart") == 1;
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    @Nested
    class SwitchedOn {

        private final long startedAtMs = System.nanoTime() / 1_000_000;

        /** Guards against a retry at another router that is taken for a first attempt. */
        @Test
        void routersOfTheDataCentreRecognizeTheRetry() {
            start(0, true);
            ForwardingNode second = start(1, true);
            ForwardingNode elsewhere = start(2, true);
            Conditions.await(() -> isConnected(second) && isConnected(elsewhere), TIMEOUT_MS);
            long callAtMs = System.nanoTime() / 1_000_000 - startedAtMs;
            assertThat(call(0, DEADLINE_MS), is(503));
            Conditions.await(() -> refusalsKnownTo(second) == 1, TIMEOUT_MS);
            assertThat(refusalsKnownTo(elsewhere), is(0));
            long awayMs = System.nanoTime() / 1_000_000 - startedAtMs - callAtMs;
            assertThat(call(1, DEADLINE_MS - awayMs), is(200));
            assertThat(refusalsKnownTo(second), is(0));
        }
    }

    @Nested
    class SwitchedOff {

        /** Guards against messages that routers of an older version do not know. */
        @Test
        void routersTellEachOtherNothing() {
            ForwardingNode first = start(0, false);
            ForwardingNode second = start(1, true);
            Conditions.await(() -> isConnected(first), TIMEOUT_MS);
            assertThat(call(0, DEADLINE_MS), is(503));
            assertThat(refusalsKnownTo(first), is(0));
            assertThat(refusalsKnownTo(second), is(0));
        }

        /** Guards against a record that grows at a router which does not use it. */
        @Test
        void routerKeepsNothingThatOthersTellIt() {
            dataCentres[2] = "here";
            start(0, true);
            ForwardingNode off = start(1, false);
            ForwardingNode on = start(2, true);
            Conditions.await(() -> isConnected(off) && isConnected(on), TIMEOUT_MS);
            assertThat(call(0, DEADLINE_MS), is(503));
            Conditions.await(() -> refusalsKnownTo(on) == 1, TIMEOUT_MS);
            assertThat(refusalsKnownTo(off), is(0));
        }
    }
}
