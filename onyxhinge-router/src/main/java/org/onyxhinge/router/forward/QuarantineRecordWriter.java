package org.onyxhinge.router.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStore;

/** Writes the record of quarantined requests to the key-value service, once for each quarantine. */
public final class QuarantineRecordWriter {

    private static final Logger LOG = Logger.getLogger(QuarantineRecordWriter.class);

    /** A router that starts within this time after a quarantine may not know of it until another router reports it. */
    private static final long CHECK_INTERVAL_MS = 250;

    private final KvStore store;
    private final String key;
    private final RecoveryRecords records;
    private boolean writing;

    private QuarantineRecordWriter(KvStore store, String key, RecoveryRecords records) {
        this.store = store;
        this.key = key;
        this.records = records;
    }

    /** Starts writing the record under {@code key}; must be called on the store's context. */
    public static void start(Vertx vertx, KvStore store, String key, RecoveryRecords records) {
        QuarantineRecordWriter writer = new QuarantineRecordWriter(store, key, records);
        vertx.setPeriodic(CHECK_INTERVAL_MS, t -> writer.write());
    }

    private void write() {
        if (writing) {
            return;
        }
        writing = true;
        records.nextQuarantineRecord()
                .compose(change -> change.isEmpty()
                        ? Future.<KvMessage.Reply>succeededFuture()
                        : store.put(key, change.get().bytes(), change.get().replaces(), 0))
                .onSuccess(reply -> {
                    if (reply != null) {
                        LOG.infof("quarantine recorded key=%s revision=%d", key, reply.revision());
                    }
                })
                .onFailure(e -> LOG.infof("quarantine not recorded key=%s error=%s", key, e.getMessage()))
                .onComplete(r -> writing = false);
    }
}
