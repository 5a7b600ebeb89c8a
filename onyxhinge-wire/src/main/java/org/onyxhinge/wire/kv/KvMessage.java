package org.onyxhinge.wire.kv;

import java.util.List;

/**
 * Messages of the key-value protocol. Every call has a {@code callId} chosen by the client, which the
 * reply repeats. A watch is answered by one {@link Reply} and then by {@link Event}s with the watch's
 * call id.
 */
public sealed interface KvMessage {

    /** Expected version for a put that requires the key not to exist. */
    long ABSENT = 0;

    /** Expected version for an unconditional put or delete. */
    long ANY = -1;

    /** A request from the client to the service. */
    sealed interface Call extends KvMessage {
        /** The id chosen by the client, repeated in the reply. */
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
     * Reads the keys under a prefix, as many as fit into one reply.
     *
     * @param callId id for the reply
     * @param prefix key prefix
     * @param afterKey only keys after this one are read; empty for all
     */
    record Range(long callId, String prefix, String afterKey) implements Call {}

    /**
     * Writes a key if its version is {@code expectedVersion} ({@link #ABSENT}, {@link #ANY} or a version).
     *
     * @param callId id for the reply
     * @param key the key
     * @param value the new value
     * @param expectedVersion the version required for the write
     * @param leaseId lease to bind the key to, or 0
     */
    record Put(long callId, String key, byte[] value, long expectedVersion, long leaseId) implements Call {}

    /**
     * Deletes a key if its version is {@code expectedVersion} or {@link #ANY}.
     *
     * @param callId id for the reply
     * @param key the key
     * @param expectedVersion the version required for the delete
     */
    record Delete(long callId, String key, long expectedVersion) implements Call {}

    /**
     * Streams changes under a prefix made after {@code fromRevision}.
     *
     * @param callId id for the reply and every event
     * @param prefix key prefix
     * @param fromRevision the last revision that the caller has received
     */
    record Watch(long callId, String prefix, long fromRevision) implements Call {}

    /**
     * Grants a lease that expires after {@code ttlMs} without a keep-alive.
     *
     * @param callId id for the reply
     * @param ttlMs time to live
     */
    record LeaseGrant(long callId, long ttlMs) implements Call {}

    /**
     * Renews a lease for another time to live.
     *
     * @param callId id for the reply
     * @param leaseId the lease
     */
    record LeaseKeepAlive(long callId, long leaseId) implements Call {}

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param callId id for the reply
     * @param leaseId the lease
     */
    record LeaseRevoke(long callId, long leaseId) implements Call {}

    /**
     * The reply to a call.
     *
     * @param callId the call's id
     * @param status outcome of the call
     * @param revision the service's revision after the call
     * @param entries keys read, or the key as now stored after a put or conflict
     * @param leaseId the lease granted or renewed, or 0
     * @param more whether there are further keys, after the last of {@code entries}
     */
    record Reply(long callId, KvStatus status, long revision, List<KvEntry> entries, long leaseId, boolean more)
            implements KvMessage {

        /** Copies the list. */
        public Reply {
            entries = List.copyOf(entries);
        }

        /** A reply that is whole. */
        public Reply(long callId, KvStatus status, long revision, List<KvEntry> entries, long leaseId) {
            this(callId, status, revision, entries, leaseId, false);
        }
    }

    /**
     * A change reported to a watch.
     *
     * @param watchId the watch's call id
     * @param revision the revision of the change
     * @param deleted true when the key was deleted (or its lease expired)
     * @param entry the key after the change; for a delete, its last value with version 0
     */
    record Event(long watchId, long revision, boolean deleted, KvEntry entry) implements KvMessage {}
}
