package org.onyxhinge.router.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStore;

/**
 * Keeps the record of what workspaces have used in the key-value service. One router writes it, so it costs two writes
 * a second whatever the size of the fleet. Without it routers that all start again presume nine tenths of each limit as
 * used, and refuse workspaces within their limits for the first seconds.
 */
public final class UsageKeeper {

    private static final Logger LOG = Logger.getLogger(UsageKeeper.class);

    /** What is used between two writes must be presumed at its most, a fortieth of the limit for each 200 ms. */
    private static final long WRITE_MS = 500;

    private final KvStore store;
    private final String key;
    private final FleetRecords records;
    private boolean writing;

    private UsageKeeper(KvStore store, String key, FleetRecords records) {
        this.store = store;
        this.key = key;
        this.records = records;
    }

    /** Starts keeping the record under {@code key}; to be called on the store's context. */
    public static void start(Vertx vertx, KvStore store, String key, FleetRecords records) {
        UsageKeeper keeper = new UsageKeeper(store, key, records);
        vertx.setPeriodic(WRITE_MS, t -> keeper.write());
    }

    private void write() {
        if (writing) {
            return;
        }
        writing = true;
        records.usageToRecord()
                .compose(bytes -> bytes.isEmpty()
                        ? Future.<KvMessage.Reply>succeededFuture()
                        : store.put(key, bytes.get(), KvMessage.ANY, 0))
                .onFailure(e -> LOG.debugf("usage not recorded key=%s error=%s", key, e.getMessage()))
                .onComplete(r -> writing = false);
    }
}
