package org.onyxhinge.wire.kv;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import io.vertx.core.Future;
import io.vertx.core.Handler;

/** Key-value store in memory that can be restored from a copy. Its watches report when {@link #deliver} is called. */
final class FakeKvStore implements KvStore {

    private final Map<String, KvEntry> entries = new ConcurrentSkipListMap<>();
    private final List<KvMessage.Event> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<Long> grantedLeases = new ArrayList<>();
    private Map<String, KvEntry> copy = Map.of();
    private long copyRevision;
    private volatile long epoch;
    private volatile long revision;
    private volatile String undescribed = "";

    private static final class Watch {
        private final Handler<KvMessage.Event> events;
        private final Runnable ended;
        private long reached;

        private Watch(long from, Handler<KvMessage.Event> events, Runnable ended) {
            this.reached = from;
            this.events = events;
            this.ended = ended;
        }
    }

    void copy() {
        copy = Map.copyOf(entries);
        copyRevision = revision;
    }

    /** Goes back to the copy. Leases are kept, and with them the keys of the copy. */
    void restore() {
        epoch++;
        revision = copyRevision;
        history.clear();
        entries.clear();
        copy.forEach((key, e) -> entries.put(key, inEpoch(e)));
    }

    private KvEntry inEpoch(KvEntry e) {
        long moved = KvRevision.of(epoch, KvRevision.withinEpoch(e.modRevision()));
        return new KvEntry(e.key(), e.value(), moved, moved, e.leaseId());
    }

    private long now() {
        return KvRevision.of(epoch, revision);
    }

    void write(String key, String value) {
        put(key, value.getBytes(java.nio.charset.StandardCharsets.UTF_8), KvMessage.ANY, 0);
    }

    /** Describes an entry in replies and events so that only its key can be read, or as it is again. */
    void describeUnreadably(String key, boolean unreadably) {
        undescribed = unreadably ? key : "";
    }

    private KvEntry described(KvEntry e) {
        return e.key().equals(undescribed) ? KvEntry.unreadable(e.key(), now()) : e;
    }

    void remove(String key) {
        delete(key, KvMessage.ANY);
    }

    boolean has(String key) {
        return entries.containsKey(key);
    }

    /** Lets every watch receive what has changed, or learn that its history is gone. */
    void deliver() {
        for (Watch w : List.copyOf(watches)) {
            if (KvRevision.epoch(w.reached) != epoch) {
                watches.remove(w);
                w.ended.run();
                continue;
            }
            try {
                List.copyOf(history).stream()
                        .filter(e -> e.revision() > w.reached)
                        .forEach(w.events::handle);
                w.reached = now();
            } catch (RuntimeException e) {
                watches.remove(w);
                w.ended.run();
            }
        }
    }

    private Future<KvMessage.Reply> reply(List<KvEntry> read, long leaseId) {
        List<KvEntry> described = read.stream().map(this::described).toList();
        return Future.succeededFuture(new KvMessage.Reply(0, KvStatus.OK, now(), described, leaseId));
    }

    @Override
    public Future<KvMessage.Reply> get(String key) {
        return reply(entries.containsKey(key) ? List.of(entries.get(key)) : List.of(), 0);
    }

    @Override
    public Future<KvMessage.Reply> range(String prefix) {
        return reply(
                entries.values().stream()
                        .filter(e -> e.key().startsWith(prefix))
                        .toList(),
                0);
    }

    @Override
    public Future<KvMessage.Reply> put(String key, byte[] value, long expectedVersion, long leaseId) {
        revision++;
        KvEntry entry = new KvEntry(key, value, now(), now(), leaseId);
        entries.put(key, entry);
        history.add(new KvMessage.Event(0, now(), false, described(entry)));
        return reply(List.of(entry), leaseId);
    }

    @Override
    public Future<KvMessage.Reply> delete(String key, long expectedVersion) {
        revision++;
        entries.remove(key);
        history.add(new KvMessage.Event(0, now(), true, new KvEntry(key, new byte[0], 0, now(), 0)));
        return reply(List.of(), 0);
    }

    @Override
    public Future<KvMessage.Reply> grant(long ttlMs) {
        grantedLeases.add((long) grantedLeases.size() + 1);
        return reply(List.of(), grantedLeases.getLast());
    }

    @Override
    public Future<KvMessage.Reply> keepAlive(long leaseId) {
        return reply(List.of(), leaseId);
    }

    @Override
    public Future<KvMessage.Reply> revoke(long leaseId) {
        return reply(List.of(), 0);
    }

    @Override
    public void watch(String prefix, long fromRevision, Handler<KvMessage.Event> events, Runnable ended) {
        watches.add(new Watch(fromRevision, events, ended));
    }
}
