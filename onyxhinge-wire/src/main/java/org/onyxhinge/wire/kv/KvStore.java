package org.onyxhinge.wire.kv;

import java.util.function.Predicate;

import io.vertx.core.Future;
import io.vertx.core.Handler;

/**
 * The key-value service, independent of the protocol. Calls fail with {@link KvException}; a call that
 * failed as {@link KvStatus#UNAVAILABLE} may have taken effect or may still do so.
 *
 * <p>The service may be restored from a copy and lose what was written since. Revisions rise all the same, see
 * {@link KvRevision}; writes that expect a version from before the restore fail.
 */
public interface KvStore {

    /** Reads one key; the reply has no entries if it does not exist. */
    Future<KvMessage.Reply> get(String key);

    /** Reads every key under a prefix. */
    Future<KvMessage.Reply> range(String prefix);

    /**
     * Reads every key under a prefix, with the values that may be of use; the others may be left out, so that they take
     * no memory until the last reply has come.
     */
    default Future<KvMessage.Reply> range(String prefix, Predicate<KvEntry> mayBeOfUse) {
        return range(prefix);
    }

    /** Whether a read of many keys, which takes several replies, has got one within the last {@code ms}. */
    default boolean isReadingPages(long ms) {
        return false;
    }

    /** Compare-and-swap write; fails with {@link KvStatus#CONFLICT} if the version differs. */
    Future<KvMessage.Reply> put(String key, byte[] value, long expectedVersion, long leaseId);

    /** Compare-and-swap delete; fails with {@link KvStatus#CONFLICT} if the version differs. */
    Future<KvMessage.Reply> delete(String key, long expectedVersion);

    /** Grants a lease; the reply contains its {@code leaseId}. */
    Future<KvMessage.Reply> grant(long ttlMs);

    /** Renews a lease; fails with {@link KvStatus#NOT_FOUND} if it has expired. */
    Future<KvMessage.Reply> keepAlive(long leaseId);

    /** Revokes a lease and deletes its keys. */
    Future<KvMessage.Reply> revoke(long leaseId);

    /**
     * Watches a prefix from {@code fromRevision}; {@code events} runs on the client's context for every
     * change, including those replayed after a reconnect. The watch is retried until the service accepts it.
     * If the service no longer has the history that the watch needs, or too much of it to be read at once, or if
     * {@code events} fails, the watch ends and {@code ended} runs.
     */
    void watch(String prefix, long fromRevision, Handler<KvMessage.Event> events, Runnable ended);
}
