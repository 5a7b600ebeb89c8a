package org.onyxhinge.wire.kv;

/** The outcome of a key-value call. The wire format uses the ordinal. */
public enum KvStatus {
    /** The call succeeded. */
    OK,
    /** The expected version of the compare-and-swap did not match. */
    CONFLICT,
    /** The key or lease does not exist. */
    NOT_FOUND,
    /** The service cannot serve calls at present. */
    UNAVAILABLE,
    /** The history that a watch needs was compacted; the keys must be read again. */
    COMPACTED
}
