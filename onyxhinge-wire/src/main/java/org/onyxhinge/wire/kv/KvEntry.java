package org.onyxhinge.wire.kv;

import java.nio.charset.StandardCharsets;

/**
 * One stored key.
 *
 * @param key the key
 * @param value the value, at most 1 MiB
 * @param version 1 when created, one more on each put; 0 for a deleted key in an event
 * @param modRevision the service revision of the last change
 * @param leaseId the lease the key lives under, or 0
 */
public record KvEntry(String key, byte[] value, long version, long modRevision, long leaseId) {

    /** The value read as UTF-8 text. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
