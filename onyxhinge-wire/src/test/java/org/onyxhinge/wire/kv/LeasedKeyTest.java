package org.onyxhinge.wire.kv;

import java.nio.charset.StandardCharsets;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class LeasedKeyTest {

    private static final String KEY = "routers/r1";
    private static final long TTL_MS = 300;
    /** Several renewals; long enough for a slow machine. */
    private static final long TIMEOUT_MS = 10 * TTL_MS;

    private final Vertx vertx = Vertx.vertx();
    private final FakeKvStore store = new FakeKvStore();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Guards against a key that stays away after a restore of the service that kept its lease but lost the key. */
    @Test
    void keyLostInARestoreIsWrittenAgainAlthoughItsLeaseIsRenewed() throws InterruptedException {
        store.copy();
        LeasedKey.hold(vertx, store, KEY, "here".getBytes(StandardCharsets.UTF_8), TTL_MS);
        assertThat(store.has(KEY), is(true));
        store.restore();
        assertThat(store.has(KEY), is(false));
        long endNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!store.has(KEY) && System.nanoTime() < endNs) {
            Thread.sleep(TTL_MS / 10);
        }
        assertThat(store.has(KEY), is(true));
    }
}
