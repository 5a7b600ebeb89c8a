package org.onyxhinge.core.place;

import java.util.Locale;

/** A part of the placement that can be switched off, so that an experiment can measure its effect. */
public enum Mechanism {
    /** Calls that can no longer be on time yield to calls of the same rank that can. */
    LATE_YIELD,
    /**
     * Chooses the target with the earliest expected end, from its learned speed. Otherwise the target with the fewest
     * calls is chosen.
     */
    LEARNED_PACE,
    /**
     * Refuses a call at once if its expected wait is too long. Otherwise it is refused when it has waited that long.
     */
    EARLY_REFUSAL,
    /** Reserves a freed slot for a router that has a more urgent call queued. */
    HAND_OVER,
    /** Promotes calls of a rank that receives too small a share of the slots. */
    LEAST_SHARE,
    /**
     * Routers take turns at free slots that all of them see. Otherwise each router takes any free slot that it sees.
     */
    TURNS,
    /** Divides large fleets into groups of routers. */
    GROUPS,
    /** Requests slots from other groups. */
    BORROWING,
    /** Avoids targets where the call could not complete in time or would stall the streams of other calls. */
    SUITABLE_TARGETS;

    /** Returns the name used in reports. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
