package org.onyxhinge.router.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.router.RouterMetrics;
import org.onyxhinge.router.http.CallerRequest;
import org.onyxhinge.runtime.Launch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * What a dispatcher does when a flight ends while it still waits for a connection to its target. The
 * target here has one connection, held by an earlier flight, so the wait is certain and needs no clock.
 */
class DispatcherTest {

    private static final long WAIT_MS = 20_000;
    private static final Tier TIER = new Tier("gold", 0, 5_000, 5_000, 60_000);

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final RecordingControl control = new RecordingControl();
    private final BlockingQueue<HttpServerRequest> atTarget = new LinkedBlockingQueue<>();
    private final List<String> keysRun = new CopyOnWriteArrayList<>();
    private final BlockingQueue<HttpServerRequest> callers = new LinkedBlockingQueue<>();
    private Context traffic;
    private Dispatcher dispatcher;
    private HttpServer target;
    private HttpServer front;
    private EngineInfo engine;

    @BeforeEach
    void start() {
        traffic = vertx.getOrCreateContext();
        var client = vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
        dispatcher = Dispatcher.create(client, control, new RouterMetrics());
        target = Launch.await(
                vertx.createHttpServer()
                        .requestHandler(req -> {
                            keysRun.add(req.getHeader("idempotency-key"));
                            atTarget.add(req);
                        })
                        .listen(0, "127.0.0.1"),
                WAIT_MS);
        front = Launch.await(
                vertx.createHttpServer()
                        .requestHandler(req -> {
                            req.pause();
                            callers.add(req);
                        })
                        .listen(0, "127.0.0.1"),
                WAIT_MS);
        engine = new EngineInfo("e1", "print-house", "127.0.0.1", target.actualPort(), 8, 1_000, 100, false);
    }

    @AfterEach
    void stop() {
        Launch.await(vertx.close(), WAIT_MS);
    }

    @Nested
    class EndedWhileWaitingForAConnection {

        @Test
        void anAbandonedRequestNeverReachesTheTarget() throws Exception {
            Flight first = flight("k-first");
            Flight waiting = flight("k-waiting");
            Flight last = flight("k-last");
            onTraffic(() -> dispatcher.dispatch(first, engine));
            HttpServerRequest held = take(atTarget);
            onTraffic(() -> dispatcher.dispatch(waiting, engine));
            onTraffic(() -> dispatcher.abandoned(waiting));
            onTraffic(() -> dispatcher.dispatch(last, engine));
            held.response().end("{}");
            take(atTarget).response().end("{}");
            assertThat(keysRun, contains("k-first", "k-last"));
            assertThat(control.notRun, contains(waiting.spec().requestId()));
        }

        @Test
        void aStoppedRequestNeverReachesTheTarget() throws Exception {
            Flight first = flight("k-first");
            Flight waiting = flight("k-waiting");
            Flight last = flight("k-last");
            onTraffic(() -> dispatcher.dispatch(first, engine));
            HttpServerRequest held = take(atTarget);
            onTraffic(() -> dispatcher.dispatch(waiting, engine));
            onTraffic(() -> dispatcher.cancel(waiting, Refusal.of(RefusalReason.PREEMPTED, "stopped", 0)));
            onTraffic(() -> dispatcher.dispatch(last, engine));
            held.response().end("{}");
            take(atTarget).response().end("{}");
            assertThat(keysRun, contains("k-first", "k-last"));
            assertThat(
                    "its claim is given back",
                    control.notRun,
                    contains(waiting.spec().requestId()));
        }
    }

    @Nested
    class TargetGone {

        @Test
        void anUnsentRequestIsHandedBackAsNotRun() throws Exception {
            Launch.await(target.close(), WAIT_MS);
            Flight f = flight("k-unsent");
            onTraffic(() -> dispatcher.dispatch(f, engine));
            String requestId = control.unsent.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            assertThat(requestId, equalTo(f.spec().requestId()));
            assertThat(keysRun.isEmpty(), is(true));
        }

        @Test
        void aRequestStoppedWhileItIsHandedBackIsStillAnswered() throws Exception {
            Launch.await(target.close(), WAIT_MS);
            Flight f = flight("k-stopped");
            onTraffic(() -> dispatcher.dispatch(f, engine));
            control.unsent.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            onTraffic(() -> dispatcher.cancel(f, Refusal.of(RefusalReason.PREEMPTED, "stopped", 0)));
            assertThat(f.caller.response().ended(), is(true));
            assertThat(control.notRun, contains(f.spec().requestId()));
        }
    }

    private Flight flight(String key) throws InterruptedException {
        client.request(HttpMethod.POST, front.actualPort(), "127.0.0.1", "/").compose(req -> req.send());
        HttpServerRequest caller = take(callers);
        RequestSpec spec = new RequestSpec(
                "r-" + key, "w", TIER, "print", "print-house", 10, 1, 0, 0, key, true, System.nanoTime() / 1_000_000);
        CallerRequest request =
                new CallerRequest("w", "gold", "print", key, new JsonObject(), new JsonArray(), 1, false, true);
        return Flight.create(dispatcher, spec, request, caller, traffic, System.nanoTime());
    }

    private void onTraffic(Runnable work) {
        Launch.await(
                Future.future(p -> traffic.runOnContext(v -> {
                    work.run();
                    p.complete();
                })),
                WAIT_MS);
    }

    private static HttpServerRequest take(BlockingQueue<HttpServerRequest> queue) throws InterruptedException {
        HttpServerRequest req = queue.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        if (req == null) {
            throw new IllegalStateException("nothing arrived");
        }
        return req;
    }

    /** Records what the dispatcher reports. */
    private static final class RecordingControl implements ControlPlane {
        private final List<String> notRun = new ArrayList<>();
        private final BlockingQueue<String> unsent = new LinkedBlockingQueue<>();

        @Override
        public void submit(Flight flight) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public void firstToken(String requestId) {}

        @Override
        public void unsent(String requestId) {
            unsent.add(requestId);
        }

        @Override
        public void ended(String requestId, boolean sent) {
            if (!sent) {
                notRun.add(requestId);
            }
        }
    }
}
