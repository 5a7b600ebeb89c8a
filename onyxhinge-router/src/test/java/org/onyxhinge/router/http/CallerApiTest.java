package org.onyxhinge.router.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.Router;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.model.ClusterConfig;
import org.onyxhinge.core.model.Service;
import org.onyxhinge.core.model.ServiceKind;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.model.Workspace;
import org.onyxhinge.router.RequestIdGenerator;
import org.onyxhinge.router.RouterMetrics;
import org.onyxhinge.router.connection.GatedHttpClient;
import org.onyxhinge.router.dispatch.ControlPlane;
import org.onyxhinge.router.dispatch.Dispatcher;
import org.onyxhinge.router.dispatch.InFlightRequest;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

class CallerApiTest {

    private static final long WAIT_MS = 20_000;
    private static final ClusterConfig CONFIG = new ClusterConfig(
            1,
            Map.of("gold", new Tier("gold", 0, 500, 500, 60_000)),
            Map.of("w", new Workspace("w", 1_000)),
            Map.of("print", new Service("print", ServiceKind.PLAIN, "print-house", false)),
            Map.of());

    private final Vertx vertx = Vertx.vertx();
    private final Context traffic = vertx.getOrCreateContext();
    private final List<String> submittedKeys = new CopyOnWriteArrayList<>();
    private HttpServer server;

    @BeforeEach
    void start() {
        RouterMetrics metrics = new RouterMetrics();
        server = Launch.await(
                onTrafficContext(() -> {
                    GatedHttpClient client = GatedHttpClient.create(vertx, new HttpClientOptions(), new PoolOptions());
                    Router router = Router.router(vertx);
                    CallerApi.mount(
                            router,
                            1_000,
                            traffic,
                            Dispatcher.create(client, new RecordingControlPlane(), metrics, traffic),
                            new CallerApi.Dependencies(
                                    metrics, () -> CONFIG, () -> false, RequestIdGenerator.of("r1", 0)));
                    return vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1");
                }),
                WAIT_MS);
    }

    private <T> Future<T> onTrafficContext(Supplier<Future<T>> action) {
        return Future.future(p -> traffic.runOnContext(v -> action.get().onComplete(p)));
    }

    @AfterEach
    void stop() {
        Launch.await(vertx.close(), WAIT_MS);
    }

    @Nested
    class LateEventLoop {

        private static final int CALLERS_THAT_LEFT = 40;

        /** Guards against callers that are refused because of the work of others that had left before them. */
        @Test
        void requestsOfCallersThatLeftAreNotSubmitted() throws Exception {
            CountDownLatch resumed = new CountDownLatch(1);
            traffic.runOnContext(v -> await(resumed));
            for (int i = 0; i < CALLERS_THAT_LEFT; i++) {
                send("left-" + i).close();
            }
            try (Socket staying = send("stayed")) {
                resumed.countDown();
                Conditions.await(() -> submittedKeys.contains("stayed"), WAIT_MS);
                assertThat(submittedKeys, contains("stayed"));
            }
        }

        private Socket send(String key) throws IOException {
            Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.actualPort());
            caller.getOutputStream()
                    .write(String.join(
                                    "\r\n",
                                    "POST /v1/calls/print HTTP/1.1",
                                    "Host: r1",
                                    "X-Onyx-Workspace: w",
                                    "X-Onyx-Tier: gold",
                                    "Idempotency-Key: " + key,
                                    "Content-Length: 2",
                                    "",
                                    "{}")
                            .getBytes(StandardCharsets.US_ASCII));
            return caller;
        }

        private static void await(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Records the requests that are submitted; it decides nothing. */
    private final class RecordingControlPlane implements ControlPlane {

        @Override
        public void submit(InFlightRequest request) {
            submittedKeys.add(request.spec().idempotencyKey());
        }

        @Override
        public void firstToken(String requestId) {}

        @Override
        public void unsent(String requestId) {}

        @Override
        public void ended(String requestId, boolean sent) {}
    }
}
