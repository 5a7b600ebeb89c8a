package org.onyxhinge.wire.kv;

import java.util.List;

/**
 * Calls to the key-value service and what it sends back. Every call carries a {@code callId} chosen by
 * the client; the reply carries the same id. Watches answer with one {@link Reply} and then {@link
 * Event}s under the watch's call id.
 */
public sealed interface KvMessage {

    /** Put when the key must not exist yet. */
    long ABSENT = 0;

    /** Put or delete whatever the current version. */
    long ANY = -1;

    /** A message from client to service. */
    sealed interface Call extends KvMessage {
        /** The client-chosen id the reply will carry. */
        long callId();
    }

    /**
     * Reads one key.
     *
     * @param callId id for the reply
     * @param key the key
     */
    record Get(long callId, String key) implements Call {}

    /**
     * Reads every key under a prefix.
     *
     * @param callId id for the reply
     * @param prefix key prefix
     */
    record Range(long callId, String prefix) implements Call {}

    /**
     * Writes a key if its version is {@code expectedVersion} ({@link #ABSENT}, {@link #ANY} or a version).
     *
     * @param callId id for the reply
     * @param key the key
     * @param value the new value
     * @param expectedVersion the version the write requires
     * @param leaseId lease to bind the key to, or 0
     */
    record Put(long callId, String key, byte[] value, long expectedVersion, long leaseId) implements Call {}

    /**
     * Deletes a key if its version is {@code expectedVersion} or {@link #ANY}.
     *
     * @param callId id for the reply
     * @param key the key
     * @param expectedVersion the version the delete requires
     */
    record Delete(long callId, String key, long expectedVersion) implements Call {}

    /**
     * Streams changes under a prefix made after {@code fromRevision}.
     *
     * @param callId id for the reply and every event
     * @param prefix key prefix
     * @param fromRevision the last revision the caller has seen
     */
    record Watch(long callId, String prefix, long fromRevision) implements Call {}

    /**
     * Grants a lease that lapses after {@code ttlMs} without a keep-alive.
     *
     * @param callId id for the reply
     * @param ttlMs time to live
     */
    record LeaseGrant(long callId, long ttlMs) implements Call {}

    /**
     * Keeps a lease alive for another time to live.
     *
     * @param callId id for the reply
     * @param leaseId the lease
     */
    record LeaseKeepAlive(long callId, long leaseId) implements Call {}

    /**
     * Ends a lease now and deletes its keys.
     *
     * @param callId id for the reply
     * @param leaseId the lease
     */
    record LeaseRevoke(long callId, long leaseId) implements Call {}

    /**
     * The answer to one call.
     *
     * @param callId the call's id
     * @param status outcome
     * @param revision the service's revision after the call
     * @param entries keys read, or the key as now stored after a put or conflict
     * @param leaseId the lease granted or kept, or 0
     */
    record Reply(long callId, KvStatus status, long revision, List<KvEntry> entries, long leaseId)
            implements KvMessage {

        /** Copies the list. */
        public Reply {
            entries = List.copyOf(entries);
        }
    }

    /**
     * One change seen by a watch.
     *
     * @param watchId the watch's call id
     * @param revision the revision of the change
     * @param deleted true when the key was deleted (or its lease lapsed)
     * @param entry the key after the change; for a delete, its last value with version 0
     */
    record Event(long watchId, long revision, boolean deleted, KvEntry entry) implements KvMessage {}
}
