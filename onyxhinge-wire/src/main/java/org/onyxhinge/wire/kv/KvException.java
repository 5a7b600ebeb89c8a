package org.onyxhinge.wire.kv;

import java.util.Optional;

/**
 * A failed key-value call. {@link #status()} is the reason; on a conflict {@link #current()} is the key
 * as stored. A call that failed as {@link KvStatus#UNAVAILABLE} may have taken effect, because the reply
 * can be lost after the write.
 */
public final class KvException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final KvStatus status;
    private final transient KvEntry current;

    private KvException(KvStatus status, String message, KvEntry current) {
        super(message);
        this.status = status;
        this.current = current;
    }

    /** An exception for a service that could not be reached or did not reply in time. */
    public static KvException unavailable(String message) {
        return new KvException(KvStatus.UNAVAILABLE, message, null);
    }

    /** An exception for a reply with a status other than {@link KvStatus#OK}. */
    public static KvException of(KvStatus status, String key, KvEntry current) {
        return new KvException(status, status + " on " + key, current);
    }

    /** The reason for the failure. */
    public KvStatus status() {
        return status;
    }

    /** The key as stored, if the reply included it. */
    public Optional<KvEntry> current() {
        return Optional.ofNullable(current);
    }
}
