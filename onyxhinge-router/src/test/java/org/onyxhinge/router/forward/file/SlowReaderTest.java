package org.onyxhinge.router.forward.file;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
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
import static org.hamcrest.Matchers.is;

/** A caller that does not read its stream for a while, so that the router stops reading from the target. */
class SlowReaderTest {

    private static final long TIMEOUT_MS = 20_000;

    /** Longer than the silence limit for a target. */
    private static final long UNREAD_MS = 2_500;

    /** More than the socket buffers of the two connections hold. */
    private static final int EVENTS = 400;

    private static final String EVENT = "id: 1\ndata: " + "x".repeat(65_500) + "\n\n";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final int port = Ports.free();
    /** Number of streams that a target was asked to continue. */
    private final AtomicInteger resumedStreams = new AtomicInteger();

    private int target() {
        return Launch.await(
                        vertx.createHttpServer().requestHandler(this::answer).listen(0, "127.0.0.1"), TIMEOUT_MS)
                .actualPort();
    }

    private void answer(HttpServerRequest request) {
        if (request.getHeader("Last-Event-ID") != null) {
            resumedStreams.incrementAndGet();
        }
        sendEvents(request.response().setChunked(true), EVENTS);
    }

    private static void sendEvents(HttpServerResponse response, int count) {
        for (int left = count; left > 0; left--) {
            if (response.writeQueueFull()) {
                int remaining = left;
                response.drainHandler(v -> sendEvents(response, remaining));
                return;
            }
            response.write(EVENT);
        }
        response.end();
    }

    private String configText() {
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
                "services = writers",
                "[service writers]",
                "[target first]",
                "service = writers",
                "address = 127.0.0.1:" + target(),
                "[target second]",
                "service = writers",
                "address = 127.0.0.1:" + target(),
                "[workspace agency]",
                "api_keys = k1",
                "");
    }

    /** Requests a stream and reads nothing but its head. */
    private Future<HttpClientResponse> draftUnread() {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setMethod(HttpMethod.POST)
                .setURI("/draft/1")
                .putHeader("Host", "letters.example")
                .putHeader(OnyxCallProtocol.API_KEY, "k1");
        return client.request(options).compose(r -> {
            r.response().onSuccess(HttpClientResponse::pause);
            return r.send("brief");
        });
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    /** Guards against taking a target for lost whose stream the router itself has stopped reading. */
    @Test
    void streamStaysAtItsTargetWhileItsCallerDoesNotRead() {
        try (ForwardingNode node =
                Launch.await(ForwardingNode.start(vertx, SingleTargetConfig.read(configText())), TIMEOUT_MS)) {
            HttpClientResponse response = Launch.await(draftUnread(), TIMEOUT_MS);
            long readFromMs = System.currentTimeMillis() + UNREAD_MS;
            Conditions.await(() -> System.currentTimeMillis() >= readFromMs, TIMEOUT_MS);
            Future<Integer> length = response.body().map(Buffer::length);
            vertx.runOnContext(v -> response.resume());
            assertThat(Launch.await(length, TIMEOUT_MS), is(EVENTS * EVENT.length()));
            assertThat(resumedStreams.get(), is(0));
        }
    }
}
