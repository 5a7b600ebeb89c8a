package org.onyxhinge.wire.kv;

import java.nio.charset.StandardCharsets;

/**
 * A key and its value as stored in the key-value service.
 *
 * @param key the key
 * @param value the value, at most 1 MiB
 * @param version 1 on creation, incremented by each put; 0 for a deleted key in an event; {@value #UNREADABLE} if the
 *     service described the entry in a way that cannot be read; {@value #KEY_ONLY} if only its key is told
 * @param modRevision the service revision of the last change
 * @param leaseId the lease that the key is bound to, or 0
 */
public record KvEntry(String key, byte[] value, long version, long modRevision, long leaseId) {

    private static final long UNREADABLE = -1;
    private static final long KEY_ONLY = -2;
    private static final byte[] NO_VALUE = {};

    /** An entry of which only the key can be read, and that had its last change by {@code revision}. */
    public static KvEntry unreadable(String key, long revision) {
        return new KvEntry(key, NO_VALUE, UNREADABLE, revision, 0);
    }

    /** Whether the service's description of the entry could be read; its value may still be anything. */
    public boolean isReadable() {
        return version != UNREADABLE;
    }

    /** An entry that exists, and of which nothing else is told. It counts as older than any other. */
    KvEntry keyOnly() {
        return new KvEntry(key, NO_VALUE, KEY_ONLY, KvRevision.of(KvRevision.epoch(modRevision), 0), 0);
    }

    /** Whether nothing but the key is told. */
    boolean isKeyOnly() {
        return version == KEY_ONLY;
    }

    /** The same entry without its value. */
    KvEntry withoutValue() {
        return new KvEntry(key, NO_VALUE, version, modRevision, leaseId);
    }

    /** The value decoded as UTF-8. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
