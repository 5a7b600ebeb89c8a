package org.onyxhinge.wire.kv;

import java.util.Optional;

/**
 * A key-value call that did not do what was asked. {@link #status()} says why; on a conflict {@link
 * #current()} holds the key as stored. A {@link KvStatus#UNAVAILABLE} call may or may not have taken
 * effect: the reply can be lost after the write.
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

    /** The service could not be reached, or did not answer in time. */
    public static KvException unavailable(String message) {
        return new KvException(KvStatus.UNAVAILABLE, message, null);
    }

    /** The service answered with a status other than {@link KvStatus#OK}. */
    public static KvException of(KvStatus status, String key, KvEntry current) {
        return new KvException(status, status + " on " + key, current);
    }

    /** Why the call failed. */
    public KvStatus status() {
        return status;
    }

    /** The key as stored, when the service sent it back. */
    public Optional<KvEntry> current() {
        return Optional.ofNullable(current);
    }
}
