package org.onyxhinge.wire.kv;

/** Outcome of one key-value call. */
public enum KvStatus {
    /** Done. */
    OK,
    /** The compare-and-swap's expected version did not match. */
    CONFLICT,
    /** The key or lease does not exist. */
    NOT_FOUND,
    /** The service cannot take calls now. */
    UNAVAILABLE,
    /** The service no longer has the history a watch needs; read the keys again. */
    COMPACTED
}
