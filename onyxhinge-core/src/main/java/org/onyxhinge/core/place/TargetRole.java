package org.onyxhinge.core.place;

/** Which calls a target gets, by its version. */
public enum TargetRole {
    /** All calls. */
    SERVING,
    /** A limited part of the calls, because its version is on trial. */
    TRIAL,
    /** Only streams that began on its version, because another version replaces it. */
    REPLACED,
    /** No calls. */
    WITHHELD;

    /** Whether calls that begin may be placed on such a target. */
    public boolean takesNewCalls() {
        return this == SERVING || this == TRIAL;
    }
}
