package org.onyxhinge.router.forward.file;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A target of the file that announces in its responses that it is leaving, beside one that stays. */
class LeavingTargetTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final int CALLS = 20;

    /** Long enough for the calls of the other test, short enough to wait for. */
    private static final long HOLD_MS = 3_000;

    private final Vertx vertx = Vertx.vertx();
    private final int port = Ports.free();
    private final TestCaller caller = TestCaller.create(vertx, port);
    private final AtomicInteger callsOfLeaving = new AtomicInteger();

    private final HttpServer leaving = target(true);
    private final HttpServer staying = target(false);

    private HttpServer target(boolean announcesShutdown) {
        return Launch.await(
                vertx.createHttpServer()
                        .requestHandler(r -> answer(r, announcesShutdown))
                        .listen(0, "127.0.0.1"),
                TIMEOUT_MS);
    }

    private void answer(HttpServerRequest request, boolean announcesShutdown) {
        if (announcesShutdown) {
            callsOfLeaving.incrementAndGet();
            request.response().putHeader(OnyxCallProtocol.LEAVING, "1");
        }
        request.response().end("done");
    }

    private int call() {
        return Launch.await(caller.post("/print/1", "k1"), TIMEOUT_MS).status();
    }

    @BeforeEach
    void receiveAnnouncement() {
        String other = "[target m2]\nservice = mailroom\naddress = 127.0.0.1:" + staying.actualPort();
        String file = SingleTargetConfig.text(port, leaving.actualPort(), "", other)
                .replace("[router]", "[router]\nleaving_hold_ms = " + HOLD_MS);
        Launch.await(ForwardingNode.start(vertx, SingleTargetConfig.read(file)), TIMEOUT_MS);
        Conditions.await(() -> call() == 200 && callsOfLeaving.get() == 1, TIMEOUT_MS);
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    @Nested
    class AfterItsAnnouncement {

        /** Guards against calls to a target that has announced in a response that it is leaving. */
        @Test
        void targetGetsNoFurtherCalls() {
            for (int i = 0; i < CALLS; i++) {
                assertThat(call(), is(200));
            }
            assertThat(callsOfLeaving.get(), is(1));
        }

        /** Guards against a target of the file that stays unused after a restart under the same id. */
        @Test
        void targetIsTriedAgainAfterTheHold() {
            Launch.await(staying.close(), TIMEOUT_MS);
            Conditions.await(() -> call() == 200, TIMEOUT_MS);
            assertThat(callsOfLeaving.get(), is(2));
        }
    }
}
