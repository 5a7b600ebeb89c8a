package org.onyxhinge.wire.kv;

import java.nio.charset.StandardCharsets;

/**
 * A key and its value as stored in the key-value service.
 *
 * @param key the key
 * @param value the value, at most 1 MiB
 * @param version 1 on creation, incremented by each put; 0 for a deleted key in an event
 * @param modRevision the service revision of the last change
 * @param leaseId the lease that the key is bound to, or 0
 */
public record KvEntry(String key, byte[] value, long version, long modRevision, long leaseId) {

    /** The value decoded as UTF-8. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
