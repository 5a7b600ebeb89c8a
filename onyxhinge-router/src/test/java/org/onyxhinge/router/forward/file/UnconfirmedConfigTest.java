package org.onyxhinge.router.forward.file;

import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.router.forward.ConfigFreshness;
import org.onyxhinge.router.forward.Forwarder;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.runtime.ProcessNetwork;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Calls that are checked when the configuration was confirmed longer ago than a new one may take to be in force. */
class UnconfirmedConfigTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final long APPLY_MS = 300;
    private static final String KNOWN = "/print/1";
    private static final String UNKNOWN = "/added/1";

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final HttpClient client = vertx.createHttpClient();
    private final int port = Ports.free();
    private final AtomicInteger asked = new AtomicInteger();
    private final ConfigFreshness freshness = ConfigFreshness.within(0, APPLY_MS);
    private final int targetPort = Launch.await(
                    vertx.createHttpServer()
                            .requestHandler(r -> r.response()
                                    .putHeader("X-Onyx-Request-Id", r.getHeader("X-Onyx-Request-Id"))
                                    .end("printed"))
                            .listen(0, "127.0.0.1"),
                    TIMEOUT_MS)
            .actualPort();
    private final Vertx routerVertx = Vertx.vertx();
    private final Forwarder forwarder = start();

    private String text(String prefix) {
        return SingleTargetConfig.text(port, targetPort, "", "").replace("/print/", prefix);
    }

    private Forwarder start() {
        ForwardingSetup setup = SingleTargetConfig.read(text("/print/"));
        Forwarder f = Launch.await(
                Forwarder.start(
                        routerVertx,
                        setup.settings(),
                        new OnyxCallProtocol(),
                        freshness,
                        new MetricRegistry(),
                        ProcessNetwork.create()),
                TIMEOUT_MS);
        setup.targets().forEach(f.targets()::targetRegistered);
        f.configure(setup.config());
        f.confirmBy(asked::incrementAndGet);
        f.confirmed(freshness.stampMs());
        return f;
    }

    @BeforeEach
    void letTheConfirmationGrowOld() throws InterruptedException {
        assertThat(Launch.await(call(KNOWN), TIMEOUT_MS), is(200));
        Thread.sleep(2 * APPLY_MS);
    }

    @AfterEach
    void close() {
        Launch.await(routerVertx.close(), TIMEOUT_MS);
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    private Future<Integer> call(String path) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI(path)
                .putHeader("Host", "letters.example")
                .putHeader("X-Onyx-Request-Id", "id-" + System.nanoTime())
                .putHeader(OnyxCallProtocol.API_KEY, "k1");
        return Future.future(p -> context.runOnContext(v -> client.request(options)
                .compose(r -> r.send())
                .map(r -> r.statusCode())
                .onComplete(p)));
    }

    private Future<Integer> heldCall(String path) {
        Future<Integer> status = call(path);
        Conditions.await(() -> asked.get() > 0, TIMEOUT_MS);
        return status;
    }

    @Test
    void unknownRouteIsRefusedForGoodOnceConfirmed() {
        Future<Integer> status = heldCall(UNKNOWN);
        forwarder.confirmed(freshness.stampMs());
        assertThat(Launch.await(status, TIMEOUT_MS), is(404));
    }

    @Test
    void callsAreDecidedByTheNewerConfigurationThatTheyWaitedFor() {
        Future<Integer> added = heldCall(UNKNOWN);
        Future<Integer> dropped = call(KNOWN);
        Conditions.await(() -> asked.get() > 1, TIMEOUT_MS);
        forwarder.configure(SingleTargetConfig.read(text("/added/")).config());
        forwarder.confirmed(freshness.stampMs());
        assertThat(Launch.await(added, TIMEOUT_MS), is(200));
        assertThat(Launch.await(dropped, TIMEOUT_MS), is(404));
    }

    /** Guards against a final refusal by a configuration that could not be confirmed. */
    @Test
    void nothingIsRefusedForGoodIfTheStoreCannotBeAsked() {
        Future<Integer> unknown = heldCall(UNKNOWN);
        Future<Integer> known = call(KNOWN);
        Conditions.await(() -> asked.get() > 1, TIMEOUT_MS);
        forwarder.unconfirmed();
        assertThat(Launch.await(unknown, TIMEOUT_MS), is(503));
        assertThat("served as before", Launch.await(known, TIMEOUT_MS), is(200));
    }

    /** Guards against delays of all calls for as long as the store is away. */
    @Test
    void callsDoNotWaitOnceTheStoreCouldNotBeAsked() {
        Future<Integer> first = heldCall(KNOWN);
        forwarder.unconfirmed();
        Launch.await(first, TIMEOUT_MS);
        long startNs = System.nanoTime();
        assertThat(Launch.await(call(KNOWN), TIMEOUT_MS), is(200));
        assertThat("below the wait for a confirmation", (System.nanoTime() - startNs) / 1_000_000 < 500, is(true));
        assertThat("and the store is asked again", asked.get(), greaterThan(1));
    }

    /** Guards against a confirmation by a read that took too long, which excludes no newer configuration. */
    @Test
    void anOldConfirmationDecidesNothing() throws InterruptedException {
        long longAgoMs = freshness.stampMs() - APPLY_MS - 1;
        Future<Integer> status = heldCall(UNKNOWN);
        forwarder.confirmed(longAgoMs);
        Thread.sleep(100);
        assertThat("still held", status.isComplete(), is(false));
        forwarder.configure(SingleTargetConfig.read(text("/added/")).config());
        forwarder.confirmed(freshness.stampMs());
        assertThat(Launch.await(status, TIMEOUT_MS), is(200));
    }
}
