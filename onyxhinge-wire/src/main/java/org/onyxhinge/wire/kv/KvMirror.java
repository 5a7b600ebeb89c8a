package org.onyxhinge.wire.kv;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.wire.Loop;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Keeps a listener up to date with all keys under a prefix: reads the prefix once, then watches it, and
 * reads it again if the service no longer has the history that the watch needs. During an outage no
 * change is reported. A key is never replaced by an older revision. An update that the listener fails to
 * apply is pending: it is reported again until it is applied, and delays no update of another key. Runs on
 * the client's context.
 *
 * <p>If the service was restored from a copy, the keys' owners write again what was lost. Until they have had time to,
 * a key that is missing is not reported as deleted. A key that had been deleted is reported only once it is written
 * again.
 */
public final class KvMirror {

    private static final Logger LOG = Logger.getLogger(KvMirror.class);
    private static final long RETRY_MS = 200;

    /** The pause between attempts to apply a pending update is doubled this many times at most. */
    private static final int MAX_DOUBLINGS = 4;

    /** The same of the pause between reads of entries that the service does not describe readably. */
    private static final int MAX_READ_DOUBLINGS = 8;

    /** Changes that are reported again at a time; each failure is logged with its stack. */
    private static final int MAX_REPEATED = 16;

    /** Time for owners to write again what a restore has lost: live targets write about once per second. */
    public static final long REWRITE_MS = 2_000;

    /** A copy is some seconds old; far fewer keys than this are deleted in that time. */
    private static final int MAX_DELETED = 4_096;

    private final Vertx vertx;
    private final KvStore kv;
    private final String prefix;
    private final Listener listener;
    private final Map<String, KvEntry> entries = new HashMap<>();
    /** Keys that were lost in a restore and not written again yet. */
    private final Set<String> missing = new HashSet<>();
    /** Keys that were deleted, with a revision at which they were; the one deleted last comes last. */
    private final Map<String, Long> deleted = BoundedMap.dropOldest(MAX_DELETED);

    private final PendingUpdates pending = new PendingUpdates();
    private final Promise<Long> firstLoad = Promise.promise();
    private final Loop loop;
    private long epoch;
    /** All changes up to this revision have been reported. */
    private long completeTo;
    /** Deletions up to this revision are not all retained. */
    private long deletionsCompactedTo;

    private int failedLoads;
    private int failedRepeats;
    private boolean repeatScheduled;
    private int failedReads;
    private boolean readScheduled;
    /** Whether the listener has failed to apply the revision that was reached last. */
    private boolean revisionPending;

    /**
     * How a mirror stands.
     *
     * @param loaded whether all keys have been read once
     * @param epoch the epoch of the service that it follows
     * @param pending number of keys whose last update is pending
     * @param oldestPendingMs age of the oldest pending update; 0 if there is none
     * @param pendingKeys some of these keys
     */
    public record State(boolean loaded, long epoch, int pending, long oldestPendingMs, List<String> pendingKeys) {

        /** A mirror that has not read anything. */
        public static final State EMPTY = new State(false, 0, 0, 0, List.of());
    }

    /** Receives the changes. */
    public interface Listener {

        /** A key was created or changed. */
        void put(KvEntry entry);

        /**
         * Whether the value of an entry that has just been put is of use. Others are dropped and not relayed,
         * and another writer's may be many and large.
         */
        default boolean uses(KvEntry entry) {
            return true;
        }

        /** Whether the value of an entry may be of use, before it is put. */
        default boolean mayUse(KvEntry entry) {
            return true;
        }

        /** A key was deleted. */
        void deleted(String key);

        /** All changes up to {@code revision} have been reported. */
        void revisionReached(long revision);

        /**
         * The last update of a key could not be read, or the call that reported it has failed, so that the previous
         * value is outdated. The update will be reported again.
         */
        default void updatePending(String key) {}

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
     * Applies the reply to a read of one key, which may be ahead of the watch; a newer entry is reported, without its
     * revision being reached.
     *
     * @return whether the listener has applied the entry in the reply. It has not if there is none, if the service was
     *     restored, or if the mirror knows of a later change
     */
    public boolean applyKey(String key, KvMessage.Reply reply) {
        Optional<KvEntry> read =
                reply.entries().stream().filter(e -> e.key().equals(key)).findFirst();
        return read.isPresent()
                && isCurrentEpoch(reply.revision())
                && put(read.get(), reply.revision())
                && !deleted.containsKey(key)
                && entries.get(key).modRevision() == read.get().modRevision();
    }

    /**
     * Applies the reply to a read of all keys under a part of the prefix, which may be ahead of the watch; what differs
     * is reported, without its revision being reached.
     *
     * @return whether the mirror is now as new as the reply. It is not if the service was restored
     */
    public boolean applyRange(String part, KvMessage.Reply reply) {
        if (!isCurrentEpoch(reply.revision())) {
            return false;
        }
        Set<String> present = reply.entries().stream().map(KvEntry::key).collect(Collectors.toSet());
        reply.entries().forEach(entry -> put(entry, reply.revision()));
        deleteAbsent(part, present, reply.revision());
        return true;
    }

    /** The revision up to which all changes have been reported; -1 before the first read. */
    public long completeTo() {
        return firstLoad.future().isComplete() ? completeTo : -1;
    }

    /** How the mirror stands, for the log and the state dump. */
    public State state() {
        return new State(
                firstLoad.future().isComplete(),
                epoch,
                pending.count(),
                pending.oldestMs(MonotonicClock.nowMs()),
                pending.someKeys());
    }

    /**
     * What has changed since a revision, for the mirror of another client; empty if it belongs to another epoch, or if
     * nothing has been read yet.
     */
    public Optional<KvChanges> changesSince(long revision) {
        if (!isCurrentEpoch(revision)) {
            return Optional.empty();
        }
        boolean whole = revision < deletionsCompactedTo;
        List<KvEntry> changed = entries.values().stream()
                .filter(e -> whole || e.modRevision() > revision)
                .filter(e -> !deleted.containsKey(e.key()) && !missing.contains(e.key()))
                .toList();
        Map<String, Long> removed = deleted.entrySet().stream()
                .filter(e -> e.getValue() > revision && isCurrentEpoch(e.getValue()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return Optional.of(new KvChanges(completeTo, whole, changed, removed));
    }

    /**
     * Applies what the mirror of another client holds.
     *
     * @return whether this mirror is now as new as the other one. It is not if one of them knows of a restore that the
     *     other does not
     */
    public boolean applyChanges(KvChanges changes) {
        if (!isCurrentEpoch(changes.revision())) {
            return false;
        }
        changes.entries().stream().filter(entry -> !entry.isKeyOnly()).forEach(entry -> put(entry, changes.revision()));
        changes.deleted().forEach(this::deleteUnlessNewer);
        if (changes.whole()) {
            Set<String> present = changes.entries().stream().map(KvEntry::key).collect(Collectors.toSet());
            deleteAbsent("", present, changes.revision());
        }
        reached(changes.revision());
        return true;
    }

    private boolean isCurrentEpoch(long revision) {
        return firstLoad.future().isComplete() && KvRevision.epoch(revision) == epoch;
    }

    /** Deletes the keys that are missing from a read, except those that were written after it. */
    private void deleteAbsent(String part, Set<String> present, long readRevision) {
        for (String key : List.copyOf(entries.keySet())) {
            if (key.startsWith(part) && !present.contains(key) && !missing.contains(key)) {
                deleteUnlessNewer(key, readRevision);
            }
        }
    }

    private void reached(long revision) {
        completeTo = Math.max(completeTo, revision);
        reportRevision(revision);
    }

    private void reportRevision(long revision) {
        revisionPending = !loop.turn(() -> listener.revisionReached(revision));
        if (revisionPending) {
            repeatLater();
        }
    }

    private void load() {
        boolean sent = loop.turn(() -> kv.range(prefix, listener::mayUse)
                .onSuccess(this::loaded)
                .onFailure(e -> {
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
        if (!loop.turn(() -> apply(reply))) {
            failedLoads++;
            loadLater();
        } else {
            failedLoads = 0;
            boolean sameEpoch = isCurrentEpoch(reply.revision());
            deletionsCompactedTo = sameEpoch ? deletionsCompactedTo : reply.revision();
            epoch = KvRevision.epoch(reply.revision());
            completeTo = reply.revision();
            kv.watch(prefix, reply.revision(), this::applyEvent, this::load);
            firstLoad.tryComplete(reply.revision());
        }
    }

    private void apply(KvMessage.Reply reply) {
        boolean firstRead = !firstLoad.future().isComplete();
        long newEpoch = KvRevision.epoch(reply.revision());
        boolean restored = !firstRead && newEpoch > epoch;
        if (!firstRead) {
            listener.historyLost();
        }
        Set<String> absent = new HashSet<>(entries.keySet());
        reply.entries().forEach(entry -> absent.remove(entry.key()));
        if (restored) {
            LOG.warnf("kv service restored prefix=%s epoch=%d keysMissing=%d", prefix, newEpoch, absent.size());
            listener.restored();
            awaitRewrite(absent, newEpoch);
            reply.entries().forEach(entry -> putFromCopy(entry, reply.revision()));
        } else {
            reply.entries().forEach(entry -> put(entry, reply.revision()));
        }
        absent.removeAll(missing);
        absent.forEach(key -> deleteUnlessNewer(key, reply.revision()));
        reportRevision(reply.revision());
    }

    /** Reports keys as deleted unless they are written again in time. */
    private void awaitRewrite(Set<String> lost, long epochOfRestore) {
        missing.addAll(lost);
        List<String> awaited = List.copyOf(lost);
        vertx.setTimer(REWRITE_MS, t -> {
            if (epoch == epochOfRestore) {
                awaited.stream().filter(missing::remove).forEach(key -> delete(key, completeTo));
            }
        });
    }

    /** A key that had been deleted is in the copy only because the copy is older; its next write is reported. */
    private void putFromCopy(KvEntry entry, long readRevision) {
        if (deleted.containsKey(entry.key())) {
            LOG.infof("kv entry ignored key=%s why=\"deleted before the restore\"", entry.key());
            entries.put(entry.key(), entry);
        } else {
            put(entry, readRevision);
        }
    }

    private void applyEvent(KvMessage.Event event) {
        if (event.deleted()) {
            deleteUnlessNewer(event.entry().key(), event.revision());
        } else {
            put(event.entry(), event.revision());
        }
        reached(event.revision());
    }

    /**
     * Reports an entry unless a later change of its key is known; what is read ahead of the watch comes again by it.
     *
     * @param readRevision revision of the service at which it was read
     * @return whether the listener has applied the last update of the key
     */
    private boolean put(KvEntry entry, long readRevision) {
        if (isOutdated(entry, readRevision)) {
            return !pending.contains(entry.key());
        }
        entries.put(entry.key(), entry);
        missing.remove(entry.key());
        deleted.remove(entry.key());
        return report(entry.key());
    }

    /**
     * The revision of an entry that could not be read is not known: whatever was read after it replaces it, and it
     * tells nothing where all changes up to its reading are known.
     */
    private boolean isOutdated(KvEntry entry, long readRevision) {
        KvEntry known = entries.get(entry.key());
        if (known != null && !known.isReadable()) {
            return readRevision < known.modRevision();
        }
        if (known != null && !entry.isReadable() && entry.modRevision() <= completeTo) {
            return true;
        }
        return known != null && entry.modRevision() <= known.modRevision()
                || entry.modRevision() <= deleted.getOrDefault(entry.key(), Long.MIN_VALUE);
    }

    /** A deletion from before the known entry was written tells nothing; the entry was read ahead of the watch. */
    private void deleteUnlessNewer(String key, long revision) {
        KvEntry known = entries.get(key);
        if (known == null || known.modRevision() <= revision) {
            delete(key, revision);
        }
    }

    private void delete(String key, long revision) {
        boolean unreported = entries.remove(key) != null && !deleted.containsKey(key);
        if (deleted.size() == MAX_DELETED && !deleted.containsKey(key)) {
            deletionsCompactedTo = Math.max(completeTo, revision);
        }
        deleted.merge(key, revision, Math::max);
        if (unreported) {
            report(key);
        }
    }

    /** Reports the last change of a key; returns whether the listener has applied it. */
    private boolean report(String key) {
        KvEntry entry = deleted.containsKey(key) ? null : entries.get(key);
        if (entry != null && !entry.isReadable()) {
            failed(key, entry.modRevision());
            readLater();
            return false;
        }
        if (!loop.turn(entry == null ? () -> listener.deleted(key) : () -> listener.put(entry))) {
            failed(key, entry == null ? completeTo : entry.modRevision());
            repeatLater();
            return false;
        }
        pending.settled(key, MonotonicClock.nowMs());
        if (entry != null && !listener.uses(entry)) {
            entries.put(key, entry.withoutValue());
        }
        return true;
    }

    private void failed(String key, long revision) {
        pending.failed(key, revision, MonotonicClock.nowMs());
        loop.turn(() -> listener.updatePending(key));
    }

    private boolean isUnreadable(String key) {
        return entries.containsKey(key) && !entries.get(key).isReadable();
    }

    /** Reads again what the service has not described readably. */
    private void readLater() {
        if (!readScheduled) {
            readScheduled = true;
            vertx.setTimer(RETRY_MS << Math.min(MAX_READ_DOUBLINGS, failedReads), t -> readAgain());
        }
    }

    private void readAgain() {
        readScheduled = false;
        failedReads++;
        if (pending.keys().noneMatch(this::isUnreadable)) {
            failedReads = 0;
            return;
        }
        loop.turn(() -> kv.range(prefix, listener::mayUse)
                .onSuccess(reply -> applyRange("", reply))
                .onFailure(e -> LOG.debugf("kv mirror read failed prefix=%s error=%s", prefix, e.getMessage())));
        readLater();
    }

    private void repeatLater() {
        if (!repeatScheduled) {
            repeatScheduled = true;
            vertx.setTimer(RETRY_MS << Math.min(MAX_DOUBLINGS, failedRepeats), t -> repeat());
        }
    }

    /** Reports the pending updates again. */
    private void repeat() {
        repeatScheduled = false;
        failedRepeats++;
        repeatable().limit(MAX_REPEATED).toList().forEach(this::report);
        if (revisionPending) {
            reportRevision(completeTo);
        }
        if (revisionPending || repeatable().findAny().isPresent()) {
            repeatLater();
        } else {
            failedRepeats = 0;
        }
    }

    private Stream<String> repeatable() {
        return pending.keys().filter(key -> !isUnreadable(key));
    }
}
