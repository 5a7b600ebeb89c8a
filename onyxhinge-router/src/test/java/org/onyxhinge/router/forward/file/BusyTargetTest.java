package org.onyxhinge.router.forward.file;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A target of the file that refuses calls with 503 and {@code Retry-After}, beside one that serves them. */
class BusyTargetTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final String PAUSE_SECONDS = "3";
    /** Shorter than the pause, to allow for a slow machine. */
    private static final long LOAD_MS = 2_000;

    private final Vertx vertx = Vertx.vertx();
    private final int port = Ports.free();
    private final TestCaller caller = TestCaller.create(vertx, port);
    private final AtomicInteger refusals = new AtomicInteger();

    private int target(boolean busy) {
        return Launch.await(
                        vertx.createHttpServer()
                                .requestHandler(r -> answer(r, busy))
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
    }

    private void answer(HttpServerRequest request, boolean busy) {
        if (busy) {
            refusals.incrementAndGet();
            request.response()
                    .setStatusCode(503)
                    .putHeader(OnyxCallProtocol.NOT_RUN, "1")
                    .putHeader("Retry-After", PAUSE_SECONDS)
                    .end();
        } else {
            request.response().end("done");
        }
    }

    private int call() {
        return Launch.await(caller.post("/print/1", "k1"), TIMEOUT_MS).status();
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    /** Guards against calls to a target that has asked for a pause. */
    @Test
    void targetGetsNoCallsDuringThePause() {
        String other = "[target m2]\nservice = mailroom\naddress = 127.0.0.1:" + target(false);
        String file = SingleTargetConfig.text(port, target(true), "", other);
        Launch.await(ForwardingNode.start(vertx, SingleTargetConfig.read(file)), TIMEOUT_MS);
        Conditions.await(
                () -> {
                    call();
                    return refusals.get() > 0;
                },
                TIMEOUT_MS);
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MS);
        while (System.nanoTime() < endNs) {
            assertThat(call(), is(200));
        }
        assertThat(refusals.get(), is(1));
    }
}
