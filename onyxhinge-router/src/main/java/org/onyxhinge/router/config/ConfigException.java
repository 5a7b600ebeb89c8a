package org.onyxhinge.router.config;

import org.onyxhinge.wire.kv.KvException;

/** A configuration write that was refused: a version conflict, or a store that could not be reached. */
public final class ConfigException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean conflict;
    private final long currentVersion;

    private ConfigException(String message, boolean conflict, long currentVersion, Throwable cause) {
        super(message, cause);
        this.conflict = conflict;
        this.currentVersion = currentVersion;
    }

    /** Another operator's change is in force: the write expected a different version. */
    public static ConfigException conflict(String key, long expected, long current) {
        return new ConfigException(
                "conflict on " + key + ": expected version " + expected + ", version " + current + " is in force",
                true,
                current,
                null);
    }

    /** The key-value service did not take the write, or its outcome could not be read back. */
    public static ConfigException unavailable(String key, KvException cause) {
        return new ConfigException("store unavailable for " + key + ": " + cause.getMessage(), false, -1, cause);
    }

    /** True for a version conflict. */
    public boolean isConflict() {
        return conflict;
    }

    /** The version in force, for a conflict. */
    public long currentVersion() {
        return currentVersion;
    }
}
