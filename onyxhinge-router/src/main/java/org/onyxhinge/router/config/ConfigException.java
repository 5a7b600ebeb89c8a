package org.onyxhinge.router.config;

import org.onyxhinge.wire.kv.KvException;

/** Failure of a configuration write: a version conflict, or an unavailable store. */
public final class ConfigException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean conflict;
    private final long currentVersion;

    private ConfigException(String message, boolean conflict, long currentVersion, Throwable cause) {
        super(message, cause);
        this.conflict = conflict;
        this.currentVersion = currentVersion;
    }

    /** The object's version in force is not the version that the write expected. */
    public static ConfigException conflict(String key, long expected, long current) {
        return new ConfigException(
                "conflict on " + key + ": expected version " + expected + ", version " + current + " is in force",
                true,
                current,
                null);
    }

    /** The key-value service failed the write, and the outcome could not be read back. */
    public static ConfigException unavailable(String key, KvException cause) {
        return new ConfigException("store unavailable for " + key + ": " + cause.getMessage(), false, -1, cause);
    }

    /** Returns true for a version conflict. */
    public boolean isConflict() {
        return conflict;
    }

    /** Returns the version in force for a version conflict, otherwise -1. */
    public long currentVersion() {
        return currentVersion;
    }
}
