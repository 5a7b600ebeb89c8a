package org.onyxhinge.router.forward;

import java.util.List;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.Loop;
import org.onyxhinge.wire.kv.KvStore;

/** Writes the records that routers share to the key-value service, one batch at a time. */
public final class RecordWriter {

    private static final Logger LOG = Logger.getLogger(RecordWriter.class);

    private final KvStore store;
    private final Supplier<Future<List<RecordWrite>>> pending;
    private boolean writing;
    private boolean failing;

    private final Loop loop = Loop.named("record writer");

    private RecordWriter(KvStore store, Supplier<Future<List<RecordWrite>>> pending) {
        this.store = store;
        this.pending = pending;
    }

    /**
     * Starts writing; must be called on the store's context.
     *
     * @param intervalMs how often to ask for the entries that are to be written
     * @param pending supplies these entries
     */
    public static void start(Vertx vertx, KvStore store, long intervalMs, Supplier<Future<List<RecordWrite>>> pending) {
        RecordWriter writer = new RecordWriter(store, pending);
        vertx.setPeriodic(intervalMs, t -> writer.write());
    }

    private void write() {
        if (writing) {
            return;
        }
        writing = true;
        boolean begun = loop.turn(() -> pending.get()
                .compose(entries -> Future.join(entries.stream().map(this::put).toList()))
                .onComplete(r -> writing = false));
        if (!begun) {
            writing = false;
        }
    }

    private Future<Void> put(RecordWrite entry) {
        return store.put(entry.key(), entry.bytes(), entry.replaces(), 0)
                .onSuccess(reply -> {
                    failing = false;
                    entry.onWritten().accept(reply.revision());
                })
                .onFailure(e -> logFailure(entry, e))
                .mapEmpty();
    }

    /** Logs only the first of several failures in a row: an outage of the store is logged where it is noticed. */
    private void logFailure(RecordWrite entry, Throwable e) {
        if (!failing) {
            LOG.infof("record not written key=%s replaces=%d error=%s", entry.key(), entry.replaces(), e.getMessage());
        }
        failing = true;
    }
}
