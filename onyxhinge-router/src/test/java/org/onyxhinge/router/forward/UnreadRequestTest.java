package org.onyxhinge.router.forward;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.file.ForwardingSetup;
import org.onyxhinge.router.forward.file.SingleTargetConfig;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/** A target that does not read the requests it is sent. */
class UnreadRequestTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int CALLS = 5;
    private static final int CALL_TIMEOUT_MS = 1_000;

    /** Enough for a connection to be closed. */
    private static final long CLOSE_MS = 500;

    private final Vertx vertx = Vertx.vertx();
    private final NetClient client = vertx.createNetClient();
    private final int port = Ports.free();
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private ServerSocket target;
    private Forwarder forwarder;

    /** Starts a router with a target that answers with a text as soon as a connection is made, and reads nothing. */
    private void start(String answer) throws IOException {
        target = new ServerSocket();
        target.setReceiveBufferSize(16_384);
        target.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread.ofVirtual().start(() -> {
            try {
                while (true) {
                    Socket socket = target.accept();
                    accepted.add(socket);
                    vertx.setTimer(
                            CLOSE_MS,
                            t -> vertx.executeBlocking(() -> {
                                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                                return null;
                            }));
                }
            } catch (IOException e) {
                // The target was closed.
            }
        });
        ForwardingSetup setup = SingleTargetConfig.read(SingleTargetConfig.text(port, target.getLocalPort(), "", "")
                .replace("service = mailroom\n", "service = mailroom\nslots = 60\n")
                .replace("[service mailroom]", "timeout_ms = " + CALL_TIMEOUT_MS + "\n[service mailroom]"));
        forwarder = StartedForwarder.of(vertx, setup);
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        for (Socket socket : accepted) {
            socket.close();
        }
        vertx.close();
    }

    /** Sends uploads and waits until each has been answered with a status. */
    private void upload(int calls, String status) throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(calls);
        for (int i = 0; i < calls; i++) {
            client.connect(port, "127.0.0.1").onSuccess(socket -> {
                socket.handler(b -> {
                    if (b.toString().startsWith("HTTP/1.1 " + status)) {
                        answered.countDown();
                    }
                });
                socket.write("POST /print/1 HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Key: k1\r\nContent-Length: "
                        + BODY_BYTES + "\r\n\r\n");
                socket.write(Buffer.buffer(new byte[BODY_BYTES]));
            });
        }
        assertThat("answered " + status, answered.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
    }

    private JsonObject dump() {
        return Launch.await(forwarder.dump(), TIMEOUT_MS);
    }

    /** Guards against unwritten bodies that stay in memory, uncounted, as long as a target reads slowly. */
    @Test
    void connectionsOfCallsThatAreOutOfTimeAreClosedAtOnce() throws Exception {
        start("");
        upload(CALLS, "504");
        Thread.sleep(CLOSE_MS);
        assertThat(dump().getInteger("targetConnections"), is(0));
        assertThat(dump().getLong("bodyBytes"), is(0L));
    }

    /** Guards against a body that does not count any more, although its target has yet to read it. */
    @Test
    void aBodyCountsUntilItIsWrittenAlthoughTheTargetHasAnswered() throws Exception {
        start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        upload(1, "200");
        Thread.sleep(CLOSE_MS);
        assertThat(dump().getInteger("exchanges"), is(0));
        assertThat(dump().getLong("bodyBytes"), is(greaterThanOrEqualTo((long) BODY_BYTES)));
        accepted.getFirst().close();
        Thread.sleep(CLOSE_MS);
        assertThat(dump().getLong("bodyBytes"), is(0L));
    }
}
