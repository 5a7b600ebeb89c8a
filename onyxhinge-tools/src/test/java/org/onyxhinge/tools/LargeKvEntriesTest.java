package org.onyxhinge.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.standins.kv.KvStandIn;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvMirror;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

/** Entries of the key-value service that together are longer than one message of its protocol. */
class LargeKvEntriesTest {

    private static final String PREFIX = "members/";
    private static final int VALUE_BYTES = 1 << 20;
    private static final int ENTRIES = 5;
    private static final long TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final KvStandIn kv = Launch.await(KvStandIn.start(vertx, "127.0.0.1", 0, 1), TIMEOUT_MS);
    private final KvClient writer = KvClient.connect(vertx, "127.0.0.1", kv.port(), TIMEOUT_MS);
    private final KvClient reader = KvClient.connect(vertx, "127.0.0.1", kv.port(), TIMEOUT_MS);

    @AfterEach
    void close() {
        writer.close();
        reader.close();
        kv.close();
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    private List<String> write() throws InterruptedException {
        while (!writer.connected() || !reader.connected()) {
            Thread.sleep(10);
        }
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            keys.add(PREFIX + i);
            keys.add(PREFIX + i + "-short");
            Launch.await(writer.put(PREFIX + i, new byte[VALUE_BYTES], KvMessage.ANY, 0), TIMEOUT_MS);
            Launch.await(writer.put(PREFIX + i + "-short", new byte[1], KvMessage.ANY, 0), TIMEOUT_MS);
        }
        return keys;
    }

    /** Guards against a client that reads nothing, and closes its connection, because of a few long values. */
    @Test
    void allKeysAreRead() throws InterruptedException {
        List<String> keys = write();
        KvMessage.Reply reply = Launch.await(reader.range(PREFIX), TIMEOUT_MS);
        assertThat(reply.entries().stream().map(KvEntry::key).toList(), containsInAnyOrder(keys.toArray()));
        assertThat(reply.more(), is(false));
    }

    /** Guards against memory that the values of all pages take before the first one is looked at. */
    @Test
    void valuesOfNoUseAreDroppedPageByPage() throws InterruptedException {
        List<String> keys = write();
        KvMessage.Reply reply = Launch.await(reader.range(PREFIX, e -> e.value().length == 1), TIMEOUT_MS);
        assertThat(reply.entries().stream().map(KvEntry::key).toList(), containsInAnyOrder(keys.toArray()));
        assertThat(reply.entries().stream().mapToInt(e -> e.value().length).sum(), is(ENTRIES));
    }

    /** Guards against a change that is lost because it was made while the pages before it were being read. */
    @Test
    void changesBetweenTwoPagesAreFollowed() throws InterruptedException {
        List<String> keys = write();
        Set<String> seen = ConcurrentHashMap.newKeySet();
        KvMirror.start(vertx, reader, PREFIX, new KvMirror.Listener() {

            @Override
            public void put(KvEntry entry) {
                if (seen.isEmpty()) {
                    writer.put(PREFIX + "0-between", new byte[1], KvMessage.ANY, 0);
                }
                seen.add(entry.key());
            }

            @Override
            public void deleted(String key) {
                seen.remove(key);
            }

            @Override
            public void revisionReached(long revision) {
                // Not looked at here.
            }
        });
        Launch.await(writer.put(PREFIX + "0-meanwhile", new byte[1], KvMessage.ANY, 0), TIMEOUT_MS);
        keys.addAll(List.of(PREFIX + "0-between", PREFIX + "0-meanwhile"));
        long endMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (seen.size() < keys.size() && System.currentTimeMillis() < endMs) {
            Thread.sleep(10);
        }
        assertThat(seen, containsInAnyOrder(keys.toArray()));
    }
}
