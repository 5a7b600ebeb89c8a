package org.onyxhinge.router.forward.file;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.router.forward.ConfigFreshness;
import org.onyxhinge.router.forward.Forwarder;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.runtime.ProcessNetwork;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** Calls that may run once and were accepted by a router that shuts down, but could not be sent until late. */
class LateInShutdownTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final long DRAIN_MS = 5_000;
    /** What a target needs, and what is left of the shutdown when a late call could be sent. */
    private static final long RUN_MS = 1_500;

    private static final long LATE_MS = DRAIN_MS - RUN_MS + 500;
    private static final String SERVED = "HTTP/1.1 200";
    private static final String REFUSED = "HTTP/1.1 503";

    private final Vertx vertx = Vertx.vertx();
    private final Vertx routerVertx = Vertx.vertx();
    private final int port = Ports.free();
    private final AtomicInteger runs = new AtomicInteger();
    private volatile long runMs = RUN_MS;
    private final Forwarder forwarder = start();

    private Forwarder start() {
        int targetPort = Launch.await(
                        vertx.createHttpServer()
                                .requestHandler(r -> {
                                    runs.incrementAndGet();
                                    vertx.setTimer(
                                            runMs,
                                            t -> r.response()
                                                    .putHeader("X-Onyx-Request-Id", r.getHeader("X-Onyx-Request-Id"))
                                                    .end("printed"));
                                })
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
        ForwardingSetup setup = SingleTargetConfig.read(SingleTargetConfig.text(port, targetPort, "", "")
                .replace("[limits]", "drain_timeout_ms = " + DRAIN_MS + "\n[limits]")
                .replace("address =", "slots = 1\naddress ="));
        Forwarder f = Launch.await(
                Forwarder.start(
                        routerVertx,
                        setup.settings(),
                        new OnyxCallProtocol(),
                        ConfigFreshness.within(0),
                        new MetricRegistry(),
                        ProcessNetwork.create()),
                TIMEOUT_MS);
        setup.targets().forEach(f.targets()::targetRegistered);
        f.configure(setup.config());
        return f;
    }

    @AfterEach
    void close() {
        Launch.await(routerVertx.close(), TIMEOUT_MS);
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    /** Sends a call whose body pauses halfway; the result is the response. */
    private CompletableFuture<String> call(String id, long pauseMs) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                        String head = "POST /print/1 HTTP/1.1\r\nHost: letters.example\r\nX-Onyx-Key: k1\r\n"
                                + "X-Onyx-Request-Id: " + id + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n";
                        socket.getOutputStream().write((head + "a").getBytes(StandardCharsets.US_ASCII));
                        Thread.sleep(pauseMs);
                        socket.getOutputStream().write('b');
                        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                    } catch (java.io.IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                },
                r -> Thread.startVirtualThread(r));
    }

    private static String response(CompletableFuture<String> call) throws Exception {
        return call.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a call that is sent when its body is whole and cut off by the end of the process. */
    @Test
    void callWhoseBodyComesLateIsNotBegun() throws Exception {
        CompletableFuture<String> slow = call("slow", LATE_MS);
        Thread.sleep(RUN_MS / 10);
        forwarder.drain();
        assertThat(response(slow), startsWith(REFUSED));
        Thread.sleep(RUN_MS);
        assertThat(runs.get(), is(0));
    }

    /** Guards against a call that is sent when a slot falls free and cut off by the end of the process. */
    @Test
    void callThatWaitsForASlotIsNotBegunLate() throws Exception {
        runMs = LATE_MS;
        CompletableFuture<String> first = call("first", 0);
        Conditions.await(() -> runs.get() == 1, TIMEOUT_MS);
        CompletableFuture<String> queued = call("queued", 0);
        Thread.sleep(RUN_MS / 10);
        forwarder.drain();
        assertThat(response(queued), startsWith(REFUSED));
        assertThat("a call that was sent in time is answered", response(first), startsWith(SERVED));
        assertThat(runs.get(), is(1));
    }
}
