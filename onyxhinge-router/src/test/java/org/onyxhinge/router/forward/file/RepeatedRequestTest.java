package org.onyxhinge.router.forward.file;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A router without a target, which refuses every call. */
class RepeatedRequestTest {

    private static final long TIMEOUT_MS = 20_000;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    /** Guards against requests being recorded where it is not switched on, or not where it is. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 0"})
    void refusedRequestsAreRecordedIfSwitchedOn(boolean on, int records) {
        int port = Ports.free();
        String text =
                SingleTargetConfig.text(port, Ports.free(), "", "").replaceAll("(?s)\\[target m1].*?\\[work", "[work")
                        + "\n[contention]\nrepeat_limits = " + on + "\n";
        ForwardingNode router = Launch.await(ForwardingNode.start(vertx, SingleTargetConfig.read(text)), TIMEOUT_MS);
        for (int i = 0; i < 3; i++) {
            int status = Launch.await(
                            TestCaller.create(vertx, port).post("/print/1", "k1", OnyxCallProtocol.DEADLINE_MS, "9000"),
                            TIMEOUT_MS)
                    .status();
            assertThat(status, is(503));
        }
        assertThat(Launch.await(router.dump(), TIMEOUT_MS).getInteger("repeatRecords"), is(records));
    }
}
