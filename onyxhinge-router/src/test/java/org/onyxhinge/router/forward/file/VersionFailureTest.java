package org.onyxhinge.router.forward.file;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.LongStream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Random failures while targets of three versions serve: routers end and start again, targets lose all connections, and
 * callers take their broken streams up at other routers. Each stream must have events of one version, each once and in
 * order. {@code -Donyxhinge.seeds=50} plays that many seeds.
 */
class VersionFailureTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final long FIRST_SEED = 20_261_203;
    private static final int ROUTERS = 6;
    private static final int TARGETS = 9;
    private static final int VERSIONS = 3;
    private static final int CALLERS = 48;
    private static final int EVENTS = 25;
    private static final int MAX_ATTEMPTS = 6;
    private static final long EVENT_INTERVAL_MS = 20;
    private static final long PLAY_MS = 4_000;
    private static final int ROUTER_DOWN_MS = 300;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (.*)\n\n");

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CALLERS));
    private final int[] ports = new int[ROUTERS];
    private final int[] peerPorts = new int[ROUTERS];
    private final ForwardingNode[] routers = new ForwardingNode[ROUTERS];
    private final List<Set<HttpServerRequest>> running = new ArrayList<>();
    private final StringBuilder targets = new StringBuilder();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger wentOn = new AtomicInteger();
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private volatile boolean sending = true;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + Integer.getInteger("onyxhinge.seeds", 2));
    }

    /** A stream as its caller sees it, over all attempts. */
    private static final class Stream {
        private final String firstAttempt = "a" + ThreadLocalRandom.current().nextLong();
        private final Set<String> versions = new HashSet<>();
        private int events;
        private int attempts;
    }

    private void startTarget(int i) {
        Set<HttpServerRequest> requests = ConcurrentHashMap.newKeySet();
        running.add(requests);
        int port = Launch.await(
                        vertx.createHttpServer()
                                .requestHandler(r -> answer(r, version(i), requests))
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
        targets.append(String.join(
                "\n",
                "[target t" + i + "]",
                "service = writers",
                "version = " + version(i),
                "slots = 16",
                "address = 127.0.0.1:" + port,
                ""));
    }

    private static String version(int target) {
        return "v" + target % VERSIONS;
    }

    private void answer(HttpServerRequest request, String version, Set<HttpServerRequest> requests) {
        requests.add(request);
        request.response().closeHandler(v -> requests.remove(request));
        String after = request.getHeader("Last-Event-ID");
        request.response().setChunked(true);
        sendEvents(request.response(), version, after == null ? 1 : Integer.parseInt(after) + 1);
    }

    private void sendEvents(HttpServerResponse response, String version, int number) {
        if (response.closed() || response.ended()) {
            return;
        }
        if (number > EVENTS) {
            response.end();
            return;
        }
        response.write("id: " + number + "\ndata: " + version + "\n\n");
        vertx.setTimer(EVENT_INTERVAL_MS, t -> sendEvents(response, version, number + 1));
    }

    private void startRouter(int i) {
        StringBuilder peers = new StringBuilder();
        for (int j = 0; j < ROUTERS; j++) {
            if (j != i) {
                peers.append("[peer r")
                        .append(j)
                        .append("]\naddress = 127.0.0.1:")
                        .append(peerPorts[j]);
                peers.append("\ndata_centre = here\n");
            }
        }
        String text = String.join(
                "\n",
                "[router]",
                "id = r" + i,
                "data_centre = here",
                "listen = 127.0.0.1:" + ports[i],
                "status = 127.0.0.1:" + Ports.free(),
                "peer_listen = 127.0.0.1:" + peerPorts[i],
                "[retries]",
                "percent = 100",
                "allowance = 1000",
                "[route drafts]",
                "host = letters.example",
                "path_prefix = /draft/",
                "kind = stream",
                "resumable = true",
                "max_attempts = 3",
                "timeout_ms = 10000",
                "services = writers",
                "[service writers]",
                "model_engine = true",
                "[workspace agency]",
                "api_keys = k1",
                peers.toString(),
                targets.toString());
        routers[i] = Launch.await(ForwardingNode.start(Vertx.vertx(), SingleTargetConfig.read(text)), TIMEOUT_MS);
    }

    private void sendRepeatedly() {
        if (sending) {
            Stream stream = new Stream();
            attempt(stream).onComplete(v -> vertx.setTimer(10, t -> sendRepeatedly()));
        }
    }

    /** Sends one attempt after the other until the stream is complete or may no longer be taken up. */
    private Future<Void> attempt(Stream stream) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(ports[ThreadLocalRandom.current().nextInt(ROUTERS)])
                .setMethod(HttpMethod.POST)
                .setURI("/draft/1")
                .putHeader("Host", "letters.example")
                .putHeader(OnyxCallProtocol.API_KEY, "k1")
                .putHeader(
                        OnyxCallProtocol.REQUEST_ID,
                        stream.events == 0 ? stream.firstAttempt : stream.firstAttempt + "-" + stream.attempts);
        boolean takenUp = stream.events > 0;
        if (takenUp) {
            options.putHeader("Last-Event-ID", Integer.toString(stream.events))
                    .putHeader(OnyxCallProtocol.RESUMES, stream.firstAttempt);
        }
        stream.attempts++;
        return client.request(options)
                // Read in the event of the response's head; a later step may miss a short body.
                .compose(r -> r.send("brief").compose(response -> receive(response, stream, takenUp)))
                .otherwise(false)
                .compose(whole -> whole || stream.attempts == MAX_ATTEMPTS || !sending
                        ? Future.succeededFuture()
                        : vertx.timer(5).compose(t -> attempt(stream)));
    }

    private Future<Boolean> receive(HttpClientResponse response, Stream stream, boolean takenUp) {
        Buffer body = Buffer.buffer();
        int before = stream.events;
        response.handler(body::appendBuffer);
        return response.end().map(true).otherwise(false).map(whole -> {
            if (response.statusCode() == 200) {
                EVENT.matcher(body.toString()).results().forEach(e -> received(e, stream));
            }
            if (before == 0 && stream.events > 0) {
                begun.incrementAndGet();
            }
            if (takenUp && response.statusCode() != 502) {
                resumed.incrementAndGet();
                wentOn.addAndGet(stream.events > before ? 1 : 0);
            }
            return whole && response.statusCode() == 200;
        });
    }

    private void received(MatchResult event, Stream stream) {
        stream.versions.add(event.group(2));
        stream.events++;
        if (stream.versions.size() > 1 || Integer.parseInt(event.group(1)) != stream.events) {
            faults.add(stream.firstAttempt + " event " + event.group(1) + " after " + (stream.events - 1) + " of "
                    + stream.versions);
        }
    }

    private static void sleep(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(ms);
    }

    private void breakTarget(int i) {
        vertx.runOnContext(
                v -> List.copyOf(running.get(i)).forEach(r -> r.connection().close()));
    }

    private void restartRouters(Random random, int count) throws InterruptedException {
        int first = random.nextInt(ROUTERS);
        for (int i = 0; i < count; i++) {
            routers[(first + i) % ROUTERS].close();
        }
        sleep(ROUTER_DOWN_MS);
        for (int i = 0; i < count; i++) {
            startRouter((first + i) % ROUTERS);
        }
    }

    @AfterEach
    void close() {
        sending = false;
        Arrays.stream(routers).forEach(ForwardingNode::close);
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    /**
     * Guards against streams that go on at another version, and against refusals by habit: most of the streams that are
     * taken up while routers and targets fail go on.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void streamsHaveEventsOfOneVersion(long seed) throws InterruptedException {
        Random random = new Random(seed);
        Arrays.setAll(ports, i -> Ports.free());
        Arrays.setAll(peerPorts, i -> Ports.free());
        for (int i = 0; i < TARGETS; i++) {
            startTarget(i);
        }
        for (int i = 0; i < ROUTERS; i++) {
            startRouter(i);
        }
        sleep(1_500);
        for (int i = 0; i < CALLERS; i++) {
            vertx.runOnContext(v -> sendRepeatedly());
        }
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MS);
        while (System.nanoTime() < endNs) {
            sleep(50 + random.nextInt(200));
            if (random.nextInt(3) == 0) {
                restartRouters(random, 1 + random.nextInt(2));
            } else {
                breakTarget(random.nextInt(TARGETS));
            }
        }
        System.out.println("streams: seed " + seed + " begun " + begun + " taken up " + resumed + " went on " + wentOn);
        assertThat(faults.toString(), faults.isEmpty(), is(true));
        assertThat(begun.get(), greaterThan(CALLERS));
        assertThat(resumed.get(), greaterThanOrEqualTo(12));
        assertThat(2 * wentOn.get(), greaterThanOrEqualTo(resumed.get()));
    }
}
