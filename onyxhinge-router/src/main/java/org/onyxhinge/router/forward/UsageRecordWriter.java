package org.onyxhinge.router.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStore;

/**
 * Writes the record of the workspaces' usage to the key-value service. Only one router writes it, so the cost is two
 * writes per second regardless of fleet size. Without the record, routers that all restart at once assume that nine
 * tenths of each limit are used, and refuse workspaces within their limits for the first seconds.
 */
public final class UsageRecordWriter {

    private static final Logger LOG = Logger.getLogger(UsageRecordWriter.class);

    /** Usage between two writes must be assumed to be the maximum, one fortieth of the limit per 200 ms. */
    private static final long WRITE_INTERVAL_MS = 500;

    private final KvStore store;
    private final String key;
    private final RecoveryRecords records;
    private boolean writing;

    private UsageRecordWriter(KvStore store, String key, RecoveryRecords records) {
        this.store = store;
        this.key = key;
        this.records = records;
    }

    /** Starts writing the record under {@code key}; must be called on the store's context. */
    public static void start(Vertx vertx, KvStore store, String key, RecoveryRecords records) {
        UsageRecordWriter writer = new UsageRecordWriter(store, key, records);
        vertx.setPeriodic(WRITE_INTERVAL_MS, t -> writer.write());
    }

    private void write() {
        if (writing) {
            return;
        }
        writing = true;
        records.nextUsageRecord()
                .compose(bytes -> bytes.isEmpty()
                        ? Future.<KvMessage.Reply>succeededFuture()
                        : store.put(key, bytes.get(), KvMessage.ANY, 0))
                .onFailure(e -> LOG.debugf("usage not recorded key=%s error=%s", key, e.getMessage()))
                .onComplete(r -> writing = false);
    }
}
