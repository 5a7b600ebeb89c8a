package org.onyxhinge.router.forward.file;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * A router has no processor time while its callers leave. When it goes on, their requests and the ends of their
 * connections lie in its sockets together, beside what targets have sent meanwhile.
 */
class LateRouterTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final int CALLERS = 40;
    /** More than a router accepts in the first turn after a pause. */
    private static final int MANY_CALLERS = 200;
    /** Callers are patient for less than the router's pause. */
    private static final long PATIENCE_MS = 500;

    private static final long PAUSE_MS = 1_500;
    private static final long DEADLINE_MS = 10_000;
    /** No call may reach a target later than this after its caller has left. */
    private static final long MAX_LATE_MS = 500;
    /** Long enough for every call that the router still sends to arrive. */
    private static final long SETTLE_MS = 1_000;

    private final Vertx vertx = Vertx.vertx();
    private final Vertx routerVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final int port = Ports.free();
    private final Map<String, Long> reachedAtNs = new ConcurrentHashMap<>();
    private final Map<String, Long> leftAtNs = new ConcurrentHashMap<>();
    private final List<Caller> callers = new ArrayList<>();

    /** A caller on a connection of its own. */
    private final class Caller {

        private final String name;
        private final Socket socket;
        private int requests;

        Caller(int number) throws IOException {
            name = "caller-" + number;
            socket = new Socket("127.0.0.1", port);
            socket.setSoTimeout((int) TIMEOUT_MS);
        }

        void send(int bodyBytes) throws IOException {
            send(bodyBytes, DEADLINE_MS);
        }

        /** Sends a request and does not wait for its response. */
        void send(int bodyBytes, long deadlineMs) throws IOException {
            String head = String.join(
                    "\r\n",
                    "POST /print/1 HTTP/1.1",
                    "Host: letters.example",
                    "X-Onyx-Key: k1",
                    "X-Onyx-Request-Id: " + name + "-" + requests++,
                    "X-Onyx-Deadline-Ms: " + deadlineMs,
                    "Content-Length: " + bodyBytes,
                    "",
                    "");
            byte[] whole = new byte[head.length() + bodyBytes];
            System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, whole, 0, head.length());
            socket.getOutputStream().write(whole);
        }

        /** Reads a response; returns its status. */
        int readResponse() throws IOException {
            String head = readUntil("\r\n\r\n");
            String length = head.toLowerCase(Locale.ROOT).replaceAll("(?s).*content-length: *(\\d+).*", "$1");
            socket.getInputStream().readNBytes(Integer.parseInt(length));
            return Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        }

        private String readUntil(String end) throws IOException {
            InputStream in = socket.getInputStream();
            StringBuilder text = new StringBuilder();
            int next;
            while (!text.toString().endsWith(end) && (next = in.read()) >= 0) {
                text.append((char) next);
            }
            return text.toString();
        }

        void leave() throws IOException {
            for (int i = 0; i < requests; i++) {
                leftAtNs.put(name + "-" + i, System.nanoTime());
            }
            socket.close();
        }
    }

    /** Starts a router with targets that answer in a given way. */
    private void start(int targets, int slots, io.vertx.core.Handler<HttpServerRequest> onRequest) {
        start(targets, slots, "", onRequest);
    }

    private void start(int targets, int slots, String workspace, io.vertx.core.Handler<HttpServerRequest> onRequest) {
        StringBuilder text = new StringBuilder(String.join(
                "\n",
                "[router]",
                "id = r1",
                "data_centre = here",
                "listen = 127.0.0.1:" + port,
                "status = 127.0.0.1:" + Ports.free(),
                "peer_listen = 127.0.0.1:" + Ports.free(),
                "[retries]",
                "percent = 100",
                "allowance = 1000",
                "[route print]",
                "host = letters.example",
                "path_prefix = /print/",
                "kind = idempotent",
                "max_attempts = 3",
                "timeout_ms = 10000",
                "target_latency_ms = 5000",
                "services = mailroom",
                "[service mailroom]",
                "max_connections = 1000",
                "[workspace agency]",
                "api_keys = k1",
                workspace,
                ""));
        for (int i = 1; i <= targets; i++) {
            int targetPort = Launch.await(
                            vertx.createHttpServer()
                                    .requestHandler(r -> {
                                        reachedAtNs.put(r.getHeader("X-Onyx-Request-Id"), System.nanoTime());
                                        onRequest.handle(r);
                                    })
                                    .listen(0, "127.0.0.1"),
                            TIMEOUT_MS)
                    .actualPort();
            text.append("[target m" + i + "]\nservice = mailroom\naddress = 127.0.0.1:" + targetPort + "\nslots = "
                    + slots + "\n");
        }
        Launch.await(ForwardingNode.start(routerVertx, SingleTargetConfig.read(text.toString())), TIMEOUT_MS);
    }

    private static void answer(HttpServerRequest request) {
        request.response().end("printed");
    }

    private void connectCallers() throws IOException {
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new Caller(i));
        }
    }

    /** Has each caller served once, so that the router and its connections are warm. */
    private void serveEachOnce() throws IOException {
        for (Caller caller : callers) {
            caller.send(4);
            assertThat(caller.readResponse(), equalTo(200));
        }
    }

    private void leaveAll() throws IOException {
        for (Caller caller : callers) {
            caller.leave();
        }
    }

    /** Keeps the router's event loop from running for a time, which begins before this returns. */
    private void pauseRouter(long pauseMs) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        routerVertx.runOnContext(v -> {
            begun.countDown();
            sleep(pauseMs);
        });
        begun.await();
    }

    private static void awaitSize(Map<String, HttpServerRequest> held, int size) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (held.size() < size && System.nanoTime() < untilNs) {
            Thread.sleep(10);
        }
        assertThat(held.size(), equalTo(size));
    }

    /** Keeps the router's event loop from running for a time, after it has begun to read its connections. */
    private void pauseRouterWhileItReads() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        NetServer server = Launch.await(
                routerVertx
                        .createNetServer()
                        .connectHandler(s -> s.handler(b -> {
                            begun.countDown();
                            sleep(PAUSE_MS);
                        }))
                        .listen(0, "127.0.0.1"),
                TIMEOUT_MS);
        try (Socket socket = new Socket("127.0.0.1", server.actualPort())) {
            socket.getOutputStream().write(1);
            begun.await();
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Number of calls that reached a target although their callers had left long before. */
    private long reachedLate() throws InterruptedException {
        Thread.sleep(PAUSE_MS - PATIENCE_MS + SETTLE_MS);
        return leftAtNs.entrySet().stream()
                .filter(left -> reachedAtNs.containsKey(left.getKey()))
                .filter(left ->
                        reachedAtNs.get(left.getKey()) - left.getValue() > TimeUnit.MILLISECONDS.toNanos(MAX_LATE_MS))
                .count();
    }

    @AfterEach
    void close() throws IOException {
        for (Caller caller : callers) {
            caller.socket.close();
        }
        Launch.await(routerVertx.close(), TIMEOUT_MS);
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    @Nested
    class CallersLeaveDuringThePause {

        /** Guards against requests that are sent on before the end of their new connections is read. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1_000, 64_000})
        void requestsOnNewConnectionsAreNotSent(int bodyBytes) throws Exception {
            start(8, 100, LateRouterTest::answer);
            pauseRouter(PAUSE_MS);
            connectCallers();
            for (Caller caller : callers) {
                caller.send(bodyBytes);
            }
            Thread.sleep(PATIENCE_MS);
            leaveAll();
            assertThat(reachedLate(), is(0L));
        }

        /** Guards against requests that are sent on before the end of their kept connections is read. */
        @Test
        void requestsOnKeptConnectionsAreNotSent() throws Exception {
            start(8, 100, LateRouterTest::answer);
            connectCallers();
            serveEachOnce();
            pauseRouter(PAUSE_MS);
            for (Caller caller : callers) {
                caller.send(4);
            }
            Thread.sleep(PATIENCE_MS);
            leaveAll();
            assertThat(reachedLate(), is(0L));
        }

        /** Guards against requests behind others on their connection that keep its end from being read. */
        @Test
        void pipelinedRequestsAreNotSent() throws Exception {
            start(8, 100, LateRouterTest::answer);
            connectCallers();
            serveEachOnce();
            pauseRouter(PAUSE_MS);
            for (Caller caller : callers) {
                caller.send(4);
                caller.send(4);
                caller.send(4);
            }
            Thread.sleep(PATIENCE_MS);
            leaveAll();
            assertThat(reachedLate(), is(0L));
        }

        /** Guards against callers that are refused because of requests, read together with theirs, of others that left. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1_000, 64_000})
        void requestsOfOthersAreServed(int bodyBytes) throws Exception {
            start(8, 100, "quota_per_second = 1\nquota_burst = " + CALLERS / 2, LateRouterTest::answer);
            pauseRouter(PAUSE_MS);
            for (int i = 0; i < MANY_CALLERS; i++) {
                Caller caller = new Caller(i);
                caller.send(bodyBytes);
                caller.leave();
            }
            Caller staying = new Caller(MANY_CALLERS);
            callers.add(staying);
            staying.send(4);
            assertThat(staying.readResponse(), equalTo(200));
        }

        /** Guards against retries that are sent before the end of the caller's connection is read. */
        @Test
        void callsThatTheirFirstTargetFailsAreNotSentAgain() throws Exception {
            Map<String, HttpServerRequest> held = new ConcurrentHashMap<>();
            start(8, 100, r -> held.put(r.getHeader("X-Onyx-Request-Id"), r));
            connectCallers();
            for (Caller caller : callers) {
                caller.send(4);
            }
            awaitSize(held, CALLERS);
            pauseRouter(PAUSE_MS);
            List.copyOf(held.values())
                    .forEach(r -> r.response().setStatusCode(500).end());
            Thread.sleep(PATIENCE_MS);
            leaveAll();
            assertThat(reachedLate(), is(0L));
        }

        /** Guards against calls that get a slot before the end of the caller's connection is read. */
        @Test
        void callsThatWaitForASlotAreNotSent() throws Exception {
            Map<String, HttpServerRequest> held = new ConcurrentHashMap<>();
            start(1, CALLERS / 2, r -> held.put(r.getHeader("X-Onyx-Request-Id"), r));
            connectCallers();
            for (Caller caller : callers) {
                caller.send(4);
            }
            awaitSize(held, CALLERS / 2);
            pauseRouter(PAUSE_MS);
            List.copyOf(held.values()).forEach(LateRouterTest::answer);
            Thread.sleep(PATIENCE_MS);
            leaveAll();
            assertThat(reachedLate(), is(0L));
        }
    }

    @Nested
    class RouterInTime {

        /** Guards against requests behind a long call on their connection, whose end is not read meanwhile. */
        @ParameterizedTest
        @ValueSource(ints = {4, 64_000, 1_000_000})
        void requestsBehindALongCallAreNotSent(int bodyBytes) throws Exception {
            Map<String, HttpServerRequest> held = new ConcurrentHashMap<>();
            start(8, 100, r -> held.put(r.getHeader("X-Onyx-Request-Id"), r));
            connectCallers();
            for (Caller caller : callers) {
                caller.send(4);
                caller.send(bodyBytes);
            }
            awaitSize(held, CALLERS);
            leaveAll();
            Thread.sleep(PAUSE_MS - PATIENCE_MS);
            List.copyOf(held.values()).forEach(LateRouterTest::answer);
            assertThat(reachedLate(), is(0L));
        }
    }

    @Nested
    class TimeOfCallers {

        private final List<Long> deadlinesMs = new CopyOnWriteArrayList<>();

        private void startRecordingDeadlines() {
            start(8, 100, r -> {
                deadlinesMs.add(Long.parseLong(r.getHeader("X-Onyx-Deadline-Ms")));
                answer(r);
            });
        }

        /** Guards against targets that are told more time than is left, since the request lay unread. */
        @Test
        void timeUnreadIsTakenOff() throws Exception {
            startRecordingDeadlines();
            connectCallers();
            serveEachOnce();
            deadlinesMs.clear();
            pauseRouter(PAUSE_MS);
            for (Caller caller : callers) {
                caller.send(4);
            }
            for (Caller caller : callers) {
                assertThat(caller.readResponse(), equalTo(200));
            }
            assertThat(Collections.max(deadlinesMs), lessThan(DEADLINE_MS - PAUSE_MS + MAX_LATE_MS));
        }

        /** Guards against requests that are begun although their callers' time is over. */
        @Test
        void requestsWithoutTimeAreRefusedAtOnce() throws Exception {
            startRecordingDeadlines();
            connectCallers();
            serveEachOnce();
            deadlinesMs.clear();
            pauseRouter(PAUSE_MS);
            for (Caller caller : callers) {
                caller.send(4, PAUSE_MS - MAX_LATE_MS);
            }
            for (Caller caller : callers) {
                assertThat(caller.readResponse(), equalTo(503));
            }
            assertThat(deadlinesMs, empty());
        }

        /** Guards against requests that are taken for old because the router was late before they came. */
        @Test
        void requestsAfterThePauseHaveTheirWholeTime() throws Exception {
            startRecordingDeadlines();
            connectCallers();
            serveEachOnce();
            pauseRouter(PAUSE_MS);
            callers.getFirst().send(4);
            assertThat(callers.getFirst().readResponse(), equalTo(200));
            deadlinesMs.clear();
            callers.getLast().send(4, PAUSE_MS - MAX_LATE_MS);
            assertThat(callers.getLast().readResponse(), equalTo(200));
        }
    }

    /**
     * What targets and callers have sent lies unread when the timers of a router fire that has stood still while it
     * read its connections.
     */
    @Nested
    class TimersAfterThePause {

        private final Map<String, HttpServerRequest> held = new ConcurrentHashMap<>();

        private volatile boolean holding;

        private void hold(HttpServerRequest request) {
            if (holding) {
                held.put(request.getHeader("X-Onyx-Request-Id"), request);
            } else {
                answer(request);
            }
        }

        private void holdCalls(long deadlineMs) throws Exception {
            connectCallers();
            serveEachOnce();
            holding = true;
            for (Caller caller : callers) {
                caller.send(4, deadlineMs);
            }
            awaitSize(held, CALLERS);
            reachedAtNs.clear();
        }

        /** Guards against answers that are dropped because the deadline's timer fires before they are read. */
        @Test
        void answersThatLieUnreadAreDelivered() throws Exception {
            start(8, 100, this::hold);
            holdCalls(PAUSE_MS);
            pauseRouterWhileItReads();
            List.copyOf(held.values()).forEach(LateRouterTest::answer);
            for (Caller caller : callers) {
                assertThat(caller.readResponse(), equalTo(200));
            }
        }

        /** Guards against targets that are taken for silent because what they have sent lies unread. */
        @Test
        void targetsThatHaveSentAreNotSilent() throws Exception {
            start(8, 100, this::hold);
            holdCalls(DEADLINE_MS);
            Thread.sleep(500);
            pauseRouterWhileItReads();
            List.copyOf(held.values())
                    .forEach(r -> r.response()
                            .putHeader("Content-Length", "" + "printed".length())
                            .write("print"));
            Thread.sleep(PAUSE_MS + SETTLE_MS / 2);
            List.copyOf(held.values()).forEach(r -> r.response().end("ed"));
            for (Caller caller : callers) {
                assertThat(caller.readResponse(), equalTo(200));
            }
            assertThat("calls sent to a second target", reachedAtNs.keySet(), empty());
        }
    }

    @Nested
    class CallersWait {

        /** Guards against requests that are dropped because they were read late. */
        @ParameterizedTest
        @ValueSource(ints = {0, 64_000})
        void allAreAnswered(int bodyBytes) throws Exception {
            start(8, 100, LateRouterTest::answer);
            connectCallers();
            serveEachOnce();
            pauseRouter(PAUSE_MS);
            for (Caller caller : callers) {
                caller.send(bodyBytes);
                caller.send(bodyBytes);
            }
            for (int i = 0; i < callers.size(); i++) {
                Caller caller = callers.get(i);
                assertThat(
                        IntStream.of(caller.readResponse(), caller.readResponse())
                                .boxed()
                                .toList(),
                        equalTo(List.of(200, 200)));
            }
        }
    }
}
