package org.onyxhinge.core.order;

/** What became of an order. The wire uses the ordinal: add new ones at the end. */
public enum OrderStatus {
    /** The target carried it out. */
    DONE,
    /** Its fencing token is older than one already seen; it was not carried out. */
    FENCED,
    /** The target refused it or could not be reached; whether it took effect is in the detail. */
    FAILED,
    /** The agent could not learn the newest token from the key-value service; it was not carried out. */
    UNAVAILABLE
}
