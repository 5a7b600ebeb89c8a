package org.onyxhinge.wire.kv;

import io.vertx.core.Future;
import io.vertx.core.Handler;

/**
 * The key-value service, whatever protocol it is reached by. Calls fail with {@link KvException}; one
 * that failed as {@link KvStatus#UNAVAILABLE} may have taken effect, or may yet do so.
 */
public interface KvStore {

    /** Reads one key; empty list when absent. */
    Future<KvMessage.Reply> get(String key);

    /** Reads every key under a prefix. */
    Future<KvMessage.Reply> range(String prefix);

    /** Compare-and-swap write; fails with {@link KvStatus#CONFLICT} when the version differs. */
    Future<KvMessage.Reply> put(String key, byte[] value, long expectedVersion, long leaseId);

    /** Compare-and-swap delete. */
    Future<KvMessage.Reply> delete(String key, long expectedVersion);

    /** Grants a lease; the reply's {@code leaseId} names it. */
    Future<KvMessage.Reply> grant(long ttlMs);

    /** Keeps a lease alive; fails with {@link KvStatus#NOT_FOUND} once it has lapsed. */
    Future<KvMessage.Reply> keepAlive(long leaseId);

    /** Ends a lease and deletes its keys. */
    Future<KvMessage.Reply> revoke(long leaseId);

    /**
     * Watches a prefix from {@code fromRevision}; {@code events} runs on the client's context for every
     * change, also those replayed after a reconnect. The watch is made again until the service takes it;
     * when the service no longer has the history it needs, it ends and {@code compacted} runs.
     */
    void watch(String prefix, long fromRevision, Handler<KvMessage.Event> events, Runnable compacted);
}
