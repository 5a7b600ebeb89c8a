package org.onyxhinge.core.place;

/**
 * Order of queued calls, given as a {@link Precedence}. Routers that compare their queued calls may use different ones:
 * calls that can be on time have the same precedence in both.
 */
enum QueueOrder {
    /** By rank; within a rank, calls that can be on time come first. */
    RANK_FIRST,
    /**
     * Calls that can be on time come first, by rank; then the others, by rank. In an overload, late calls of the urgent
     * ranks otherwise hold the slots in which calls of the other ranks would be on time.
     */
    ON_TIME_FIRST;

    /** Greater than the precedence of any call that can be on time, with ranks up to 2^29. */
    private static final int LATE = 1 << 30;

    /** Returns the order that the settings ask for. */
    static QueueOrder of(PlacementSettings settings) {
        return settings.uses(Mechanism.ON_TIME_FIRST) ? ON_TIME_FIRST : RANK_FIRST;
    }

    /** Returns the most urgent rank whose arriving calls do not precede a call. */
    int firstRankBehind(int rank, boolean canBeOnTime) {
        if (canBeOnTime) {
            return rank;
        }
        return switch (this) {
            case RANK_FIRST -> rank + 1;
            case ON_TIME_FIRST -> Integer.MAX_VALUE;
        };
    }

    /**
     * Returns the precedence of a call that is queued with a rank.
     *
     * @param aboveShare whether the call is of a workspace above its share; among the calls that can be on time it
     *     comes after those of the other workspaces and before the next rank
     */
    int precedence(int rank, boolean canBeOnTime, boolean aboveShare) {
        if (canBeOnTime && aboveShare) {
            return Precedence.of(rank, false);
        }
        return switch (this) {
            case RANK_FIRST -> Precedence.of(rank, canBeOnTime);
            case ON_TIME_FIRST -> Precedence.of(rank, canBeOnTime) + (canBeOnTime ? 0 : LATE);
        };
    }
}
