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
 * Keeps a listener up to date with all keys under a prefix: reads the prefix once, then watches it, and
 * reads it again if the service has compacted the history that the watch needs. During an outage no
 * change is reported. A key is never replaced by an older revision. Runs on the client's context.
 */
public final class KvMirror {

    private static final Logger LOG = Logger.getLogger(KvMirror.class);
    private static final long RETRY_MS = 200;

    private final Vertx vertx;
    private final KvStore kv;
    private final String prefix;
    private final Listener listener;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Promise<Long> firstLoad = Promise.promise();

    /** Receives the changes. */
    public interface Listener {

        /** A key was created or changed. */
        void put(KvEntry entry);

        /** A key was deleted. */
        void deleted(String key);

        /** All changes up to {@code revision} have been reported. */
        void revisionReached(long revision);
    }

    private KvMirror(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        this.vertx = vertx;
        this.kv = kv;
        this.prefix = prefix;
        this.listener = listener;
    }

    /** Starts mirroring; the future completes with the revision of the first successful read. */
    public static Future<Long> start(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        KvMirror mirror = new KvMirror(vertx, kv, prefix, listener);
        mirror.load();
        return mirror.firstLoad.future();
    }

    private void load() {
        kv.range(prefix).onSuccess(this::apply).onFailure(e -> {
            LOG.debugf("kv mirror load failed prefix=%s error=%s", prefix, e.getMessage());
            vertx.setTimer(RETRY_MS, t -> load());
        });
    }

    private void apply(KvMessage.Reply reply) {
        Set<String> removed = new HashSet<>(revisions.keySet());
        for (KvEntry entry : reply.entries()) {
            removed.remove(entry.key());
            put(entry);
        }
        removed.forEach(this::delete);
        listener.revisionReached(reply.revision());
        kv.watch(prefix, reply.revision(), this::applyEvent, this::load);
        firstLoad.tryComplete(reply.revision());
    }

    private void applyEvent(KvMessage.Event event) {
        if (event.deleted()) {
            delete(event.entry().key());
        } else {
            put(event.entry());
        }
        listener.revisionReached(event.revision());
    }

    private void put(KvEntry entry) {
        Long knownRevision = revisions.get(entry.key());
        if (knownRevision == null || entry.modRevision() > knownRevision) {
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
