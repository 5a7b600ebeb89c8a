package org.onyxhinge.wire.kv;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;

/**
 * A copy of every key under a prefix, kept current: read whole once, then followed by a watch; read
 * whole again when the service no longer has the history the watch needs. Through an outage the copy
 * stays as it was. A key is never replaced by an older revision of itself. Runs on the client's context.
 */
public final class KvMirror {

    private static final Logger LOG = Logger.getLogger(KvMirror.class);
    private static final long RETRY_MS = 200;

    private final Vertx vertx;
    private final KvStore kv;
    private final String prefix;
    private final Listener listener;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Promise<Long> loaded = Promise.promise();

    /** Hears what changes. */
    public interface Listener {

        /** A key was created or changed. */
        void put(KvEntry entry);

        /** A key was deleted. */
        void deleted(String key);

        /** Everything up to {@code revision} has been heard. */
        void upTo(long revision);
    }

    private KvMirror(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        this.vertx = vertx;
        this.kv = kv;
        this.prefix = prefix;
        this.listener = listener;
    }

    /** Starts copying; the future completes, with the revision, once the first whole read is in. */
    public static Future<Long> start(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        KvMirror mirror = new KvMirror(vertx, kv, prefix, listener);
        mirror.load();
        return mirror.loaded.future();
    }

    private void load() {
        kv.range(prefix).onSuccess(this::loaded).onFailure(e -> {
            LOG.debugf("mirror not loaded yet prefix=%s error=%s", prefix, e.getMessage());
            vertx.setTimer(RETRY_MS, t -> load());
        });
    }

    private void loaded(KvMessage.Reply reply) {
        Set<String> gone = new HashSet<>(revisions.keySet());
        for (KvEntry entry : reply.entries()) {
            gone.remove(entry.key());
            put(entry);
        }
        gone.forEach(this::delete);
        listener.upTo(reply.revision());
        kv.watch(prefix, reply.revision(), this::event, this::load);
        loaded.tryComplete(reply.revision());
    }

    private void event(KvMessage.Event event) {
        if (event.deleted()) {
            delete(event.entry().key());
        } else {
            put(event.entry());
        }
        listener.upTo(event.revision());
    }

    private void put(KvEntry entry) {
        Long known = revisions.get(entry.key());
        if (known == null || entry.modRevision() > known) {
            revisions.put(entry.key(), entry.modRevision());
            listener.put(entry);
        }
    }

    private void delete(String key) {
        if (revisions.remove(key) != null) {
            listener.deleted(key);
        }
    }
}
