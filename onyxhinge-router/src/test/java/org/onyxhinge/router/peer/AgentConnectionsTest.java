package org.onyxhinge.router.peer;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvKeys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AgentConnectionsTest {

    private static final long TIMEOUT_MS = 5_000;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close();
    }

    private static KvEntry entry(String key, String value) {
        return new KvEntry(KvKeys.AGENTS + key, value.getBytes(StandardCharsets.UTF_8), 1, 1, 0);
    }

    /** Guards against an agent whose address cannot be read and that keeps the router from all others. */
    @Test
    void agentsBesideUnreadableOnesAreConnected() throws InterruptedException {
        CountDownLatch connected = new CountDownLatch(2);
        int port = Launch.await(
                        vertx.createNetServer()
                                .connectHandler(s -> connected.countDown())
                                .listen(0, "127.0.0.1"),
                        TIMEOUT_MS)
                .actualPort();
        vertx.getOrCreateContext().runOnContext(v -> {
            KvClient absent = KvClient.connect(vertx, "127.0.0.1", Ports.free(), TIMEOUT_MS);
            AgentConnections agents = AgentConnections.start(vertx, absent, (engine, message) -> {}, "r1", 10);
            agents.put(entry("pool-a/e1", "nowhere"));
            agents.put(entry("pool-a/e2", "127.0.0.1:" + port));
            agents.put(entry("pool-a/e3", ""));
            agents.put(entry("pool-b/e4", "127.0.0.1:99999"));
            agents.put(entry("pool-c/e5", "127.0.0.1:" + port));
            agents.revisionReached(1);
        });
        assertThat(connected.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
    }
}
