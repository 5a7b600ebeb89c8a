package org.onyxhinge.router.forward.file;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

/**
 * An incident: beside a change of the configuration a router broke off four streams to its callers whose target would
 * have gone on with them.
 *
 * <p>A target from which nothing comes for a second on any connection is taken for lost, and its streams that may be
 * resumed go on at another target. In an overload no other has a slot; the stream was given up all the same, and then
 * there was nothing to go on with. What proved it: a call of a played day, "silent for 1035 ms", then "busy", then cut.
 */
class SilentStreamTest {

    private static final long TIMEOUT_MS = 20_000;

    /** Longer than a target's silence is borne, and well below what a caller bears. */
    private static final long SILENT_MS = 1_700;

    /** How long the other target's stream takes. */
    private static final long BUSY_MS = 2_500;

    /** Calls that wait for a slot as well. */
    private static final int WAITING = 8;

    private static final String END = "id: 2\ndata: end\n\n";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final int port = Ports.free();
    /** Streams that a target has begun. */
    private final AtomicInteger begun = new AtomicInteger();

    private int target(boolean silent) {
        return Launch.await(
                        vertx.createHttpServer()
                                .requestHandler(r -> answer(r, silent))
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
    }

    /** Two events; between them a pause, or one event more every 100 ms. */
    private void answer(HttpServerRequest request, boolean silent) {
        HttpServerResponse response = request.response().setChunked(true);
        if (request.getHeader("Last-Event-ID") != null) {
            response.end(END);
            return;
        }
        begun.incrementAndGet();
        response.write("id: 1\ndata: begin\n\n");
        if (!silent) {
            vertx.setPeriodic(100, t -> {
                if (!response.closed() && !response.ended()) {
                    response.write("id: 1\ndata: more\n\n");
                }
            });
        }
        vertx.setTimer(silent ? SILENT_MS : BUSY_MS, t -> response.end(END));
    }

    private String site(int silentPort, int otherPort) {
        return String.join(
                "\n",
                "[router]",
                "id = r1",
                "data_centre = here",
                "listen = 127.0.0.1:" + port,
                "status = 127.0.0.1:" + Ports.free(),
                "peer_listen = 127.0.0.1:" + Ports.free(),
                "[route drafts]",
                "host = letters.example",
                "path_prefix = /draft/",
                "kind = stream",
                "resumable = true",
                "max_attempts = 2",
                "target_latency_ms = 2500",
                "timeout_ms = 3500",
                "services = writers",
                "[service writers]",
                "model_engine = true",
                "[target silent]",
                "service = writers",
                "data_centre = here",
                "slots = 1",
                "address = 127.0.0.1:" + silentPort,
                "[target other]",
                "service = writers",
                "data_centre = there",
                "slots = 1",
                "address = 127.0.0.1:" + otherPort,
                "[workspace agency]",
                "api_keys = k1",
                "");
    }

    private Future<String> draft() {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setMethod(HttpMethod.POST)
                .setURI("/draft/1")
                .putHeader("Host", "letters.example")
                .putHeader(OnyxCallProtocol.API_KEY, "k1");
        return client.request(options)
                .compose(r -> r.send("brief"))
                .compose(r -> r.body().map(b -> r.statusCode() + " " + b));
    }

    private ForwardingNode start() {
        return Launch.await(ForwardingNode.start(vertx, SmallSite.read(site(target(true), target(false)))), TIMEOUT_MS);
    }

    private static void await(BooleanSupplier condition) {
        Conditions.await(condition, TIMEOUT_MS);
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    @Test
    void aStreamIsNotBrokenOffForLackOfAnotherSlot() {
        try (ForwardingNode node = start()) {
            Future<String> first = draft();
            await(() -> begun.get() == 1);
            Future<String> second = draft();
            await(() -> begun.get() == 2);
            for (int i = 0; i < WAITING; i++) {
                draft();
            }
            assertThat(Launch.await(first, TIMEOUT_MS), endsWith(END));
            assertThat(Launch.await(second, TIMEOUT_MS), endsWith(END));
        }
    }

    @Test
    void aStreamGoesOnWhereThereIsASlot() {
        try (ForwardingNode node = start()) {
            long beganNs = System.nanoTime();
            assertThat(Launch.await(draft(), TIMEOUT_MS), is("200 id: 1\ndata: begin\n\n" + END));
            assertThat((System.nanoTime() - beganNs) / 1_000_000 < SILENT_MS, is(true));
        }
    }
}
