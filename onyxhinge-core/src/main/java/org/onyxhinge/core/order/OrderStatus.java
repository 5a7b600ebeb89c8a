package org.onyxhinge.core.order;

/** The result of an order. The wire format uses the ordinal: append new values at the end. */
public enum OrderStatus {
    /** The target carried it out. */
    DONE,
    /** Rejected because its fencing token is older than one already seen; not carried out. */
    FENCED,
    /** The target refused it or could not be reached; the detail says whether it took effect. */
    FAILED,
    /** The agent could not read the newest token from the key-value service; not carried out. */
    UNAVAILABLE
}
