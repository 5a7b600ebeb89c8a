package org.onyxhinge.router.forward;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.file.ForwardingSetup;
import org.onyxhinge.router.forward.file.SingleTargetConfig;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class KeptConnectionMemoryTest {

    private static final long TIMEOUT_MS = 30_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int CALLS = 12;
    private static final long ANSWER_MS = 500;

    private static final int KEPT_S = 30;

    /** Time for what is no longer held to be collected, less than that for which connections are kept. */
    private static final long COLLECTED_MS = 5_000;

    private static final long SETTLE_MS = 100;

    private final Vertx vertx = Vertx.vertx();
    private final NetClient client = vertx.createNetClient();
    private final int port = Ports.free();
    private Forwarder forwarder;

    private void start() {
        int targetPort = Launch.await(
                        vertx.createHttpServer()
                                .requestHandler(this::answerLater)
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
        ForwardingSetup setup = SingleTargetConfig.read(SingleTargetConfig.text(port, targetPort, "", "")
                .replace("service = mailroom\n", "service = mailroom\nslots = 60\n")
                .replace("[service mailroom]", "[service mailroom]\nmax_connections = 120"));
        forwarder = StartedForwarder.of(vertx, setup);
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    /** All calls are in progress at the same time, so that each takes a connection of its own. */
    private void answerLater(HttpServerRequest request) {
        request.handler(b -> {})
                .endHandler(v -> vertx.setTimer(
                        ANSWER_MS,
                        t -> request.response()
                                .putHeader("X-Onyx-Request-Id", request.getHeader("X-Onyx-Request-Id"))
                                .putHeader("Keep-Alive", "timeout=" + KEPT_S)
                                .end("done")));
    }

    private NetSocket upload(String id, CountDownLatch answered) {
        NetSocket socket = Launch.await(client.connect(port, "127.0.0.1"), TIMEOUT_MS);
        socket.handler(b -> {
            if (b.toString().startsWith("HTTP/1.1 200")) {
                answered.countDown();
            }
        });
        socket.write("POST /print/1 HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Key: k1\r\nX-Onyx-Request-Id: " + id
                + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        socket.write(Buffer.buffer(new byte[BODY_BYTES]));
        return socket;
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Guards against bodies that stay in memory, uncounted, with the idle connections that they were sent on. */
    @Test
    void idleConnectionsToTargetsHoldNoBodies() throws InterruptedException {
        start();
        long beforeBytes = usedHeapBytes();
        CountDownLatch answered = new CountDownLatch(CALLS);
        List<NetSocket> callers = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            callers.add(upload("r" + i, answered));
        }
        assertThat(answered.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
        callers.forEach(NetSocket::close);
        callers.clear();
        long untilMs = System.currentTimeMillis() + COLLECTED_MS;
        long heldBytes = usedHeapBytes() - beforeBytes;
        while (heldBytes > 2 * BODY_BYTES && System.currentTimeMillis() < untilMs) {
            Thread.sleep(SETTLE_MS);
            heldBytes = usedHeapBytes() - beforeBytes;
        }
        assertThat(heldBytes, is(lessThan(2L * BODY_BYTES)));
        assertThat(
                "connections that are kept",
                Launch.await(forwarder.dump(), TIMEOUT_MS).getInteger("targetConnections"),
                is(CALLS));
    }
}
