package org.onyxhinge.wire.kv;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.wire.Loop;

/**
 * Keeps a listener up to date with all keys under a prefix: reads the prefix once, then watches it, and
 * reads it again if the service no longer has the history that the watch needs. During an outage no
 * change is reported. A key is never replaced by an older revision. Runs on the client's context.
 *
 * <p>If the service was restored from a copy, the keys' owners write again what was lost. Until they have had time to,
 * a key that is missing is not reported as deleted. A key that had been deleted is reported only once it is written
 * again.
 */
public final class KvMirror {

    private static final Logger LOG = Logger.getLogger(KvMirror.class);
    private static final long RETRY_MS = 200;

    /** The pause between loads that the listener does not take is doubled this many times at most. */
    private static final int MAX_DOUBLINGS = 4;

    /** Time for owners to write again what a restore has lost: live targets write about once per second. */
    public static final long REWRITE_MS = 2_000;

    /** A copy is some seconds old; far fewer keys than this are deleted in that time. */
    private static final int MAX_DELETED = 4_096;

    private final Vertx vertx;
    private final KvStore kv;
    private final String prefix;
    private final Listener listener;
    private final Map<String, Long> revisions = new HashMap<>();
    /** Keys that were lost in a restore and not written again yet. */
    private final Set<String> missing = new HashSet<>();
    /** Keys that were deleted; the one deleted last comes last. */
    private final Map<String, Boolean> deleted = BoundedMap.dropOldest(MAX_DELETED);

    private final Promise<Long> firstLoad = Promise.promise();
    private final Loop loop;
    private long epoch;
    private int failedLoads;

    /** Receives the changes. */
    public interface Listener {

        /** A key was created or changed. */
        void put(KvEntry entry);

        /** A key was deleted. */
        void deleted(String key);

        /** All changes up to {@code revision} have been reported. */
        void revisionReached(long revision);

        /** The contents are read again: keys that were created and deleted since the last change are not reported. */
        default void historyLost() {}

        /** The service was restored from a copy; the contents that differ are reported next. */
        default void restored() {}
    }

    private KvMirror(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        this.vertx = vertx;
        this.kv = kv;
        this.prefix = prefix;
        this.listener = listener;
        this.loop = Loop.named("kv mirror of \"" + prefix + "\"");
    }

    /** Creates a mirror that has not been started. */
    public static KvMirror create(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        return new KvMirror(vertx, kv, prefix, listener);
    }

    /** Starts mirroring; the future completes with the revision of the first successful read. */
    public Future<Long> start() {
        load();
        return firstLoad.future();
    }

    /** Creates and starts a mirror, as {@link #start()} does. */
    public static Future<Long> start(Vertx vertx, KvStore kv, String prefix, Listener listener) {
        return create(vertx, kv, prefix, listener).start();
    }

    /**
     * Takes the reply to a read of one key, which may be ahead of the watch; a newer entry is reported, without its
     * revision being reached.
     *
     * @return whether the mirror's entry is now the one in the reply. It is not if there is none, if the service was
     *     restored, or if the mirror knows of a later change
     */
    public boolean take(String key, KvMessage.Reply reply) {
        Optional<KvEntry> read =
                reply.entries().stream().filter(e -> e.key().equals(key)).findFirst();
        if (read.isEmpty()
                || !firstLoad.future().isComplete()
                || KvRevision.epoch(reply.revision()) != epoch
                || deleted.containsKey(key)) {
            return false;
        }
        long knownRevision = revisions.getOrDefault(key, Long.MIN_VALUE);
        return knownRevision == read.get().modRevision()
                || knownRevision < read.get().modRevision() && put(read.get());
    }

    private void load() {
        boolean sent = loop.turn(() -> kv.range(prefix).onSuccess(this::loaded).onFailure(e -> {
            LOG.debugf("kv mirror load failed prefix=%s error=%s", prefix, e.getMessage());
            loadLater();
        }));
        if (!sent) {
            loadLater();
        }
    }

    private void loadLater() {
        vertx.setTimer(RETRY_MS << Math.min(MAX_DOUBLINGS, failedLoads), t -> load());
    }

    private void loaded(KvMessage.Reply reply) {
        long failuresBefore = loop.failures();
        loop.turn(() -> apply(reply));
        if (loop.failures() > failuresBefore) {
            failedLoads++;
            loadLater();
        } else {
            failedLoads = 0;
            epoch = KvRevision.epoch(reply.revision());
            kv.watch(prefix, reply.revision(), this::applyEvent, this::load);
            firstLoad.tryComplete(reply.revision());
        }
    }

    /** Reports what has changed; keys that the listener fails to take are reported again by the next load. */
    private void apply(KvMessage.Reply reply) {
        boolean firstRead = !firstLoad.future().isComplete();
        long newEpoch = KvRevision.epoch(reply.revision());
        boolean restored = !firstRead && newEpoch > epoch;
        if (!firstRead) {
            listener.historyLost();
        }
        Set<String> absent = new HashSet<>(revisions.keySet());
        reply.entries().forEach(entry -> absent.remove(entry.key()));
        if (restored) {
            LOG.warnf("kv service restored prefix=%s epoch=%d keysMissing=%d", prefix, newEpoch, absent.size());
            listener.restored();
            awaitRewrite(absent, newEpoch);
            reply.entries().forEach(this::putFromCopy);
        } else {
            reply.entries().forEach(this::put);
        }
        absent.removeAll(missing);
        absent.forEach(this::delete);
        listener.revisionReached(reply.revision());
    }

    /** Reports keys as deleted unless they are written again in time. */
    private void awaitRewrite(Set<String> lost, long epochOfRestore) {
        missing.addAll(lost);
        List<String> awaited = List.copyOf(lost);
        vertx.setTimer(REWRITE_MS, t -> {
            if (epoch == epochOfRestore) {
                awaited.stream().filter(missing::remove).forEach(this::delete);
            }
        });
    }

    /** A key that had been deleted is in the copy only because the copy is older; its next write is reported. */
    private void putFromCopy(KvEntry entry) {
        if (deleted.containsKey(entry.key())) {
            LOG.infof("kv entry ignored key=%s why=\"deleted before the restore\"", entry.key());
            revisions.put(entry.key(), entry.modRevision());
        } else {
            put(entry);
        }
    }

    private void applyEvent(KvMessage.Event event) {
        boolean taken = event.deleted() ? delete(event) : put(event.entry());
        if (!taken || !loop.turn(() -> listener.revisionReached(event.revision()))) {
            throw new IllegalStateException("change not taken: " + event.entry().key());
        }
    }

    private boolean put(KvEntry entry) {
        Long knownRevision = revisions.get(entry.key());
        if (knownRevision != null && entry.modRevision() <= knownRevision) {
            return true;
        }
        if (!loop.turn(() -> listener.put(entry))) {
            return false;
        }
        revisions.put(entry.key(), entry.modRevision());
        missing.remove(entry.key());
        deleted.remove(entry.key());
        return true;
    }

    /** A deletion from before the known entry was written tells nothing; the entry was read ahead of the watch. */
    private boolean delete(KvMessage.Event event) {
        String key = event.entry().key();
        return revisions.getOrDefault(key, Long.MIN_VALUE) > event.revision() || delete(key);
    }

    private boolean delete(String key) {
        boolean unreported = revisions.containsKey(key) && !deleted.containsKey(key);
        if (unreported && !loop.turn(() -> listener.deleted(key))) {
            return false;
        }
        revisions.remove(key);
        deleted.put(key, true);
        return true;
    }
}
