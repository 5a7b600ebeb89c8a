package org.onyxhinge.core.place;

/**
 * Order of queued calls as a single number, lowest first: by rank, and within a rank calls that can still be on time
 * before those that cannot. Routers compare their queued calls by it.
 */
public final class Precedence {

    private Precedence() {}

    /** Returns the precedence of a call that is queued with a rank. */
    public static int of(int rank, boolean canBeOnTime) {
        return 2 * rank + (canBeOnTime ? 0 : 1);
    }
}
