package org.onyxhinge.core.place;

import java.util.Locale;

/**
 * A part of the placement. Most are on, and are switched off only by experiments that measure their effect; the opt-in
 * ones are for deployments with sustained contention and are switched on by settings.
 */
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
    SUITABLE_TARGETS,
    /** Shares the slots of a contended service fairly between the workspaces of a rank. */
    WORKSPACE_SHARES(true),
    /** Refuses calls that would be refused later, and spreads the retries of refused callers over the free slots. */
    PLANNED_RETURNS(true),
    /** Serves short calls of a less urgent rank about as often as calls of the rank above. */
    SHORT_CALL_SHARES(true),
    /** Calls that can no longer be on time yield to calls of any rank that can. */
    ON_TIME_FIRST(true),
    /** Spreads long prompts, so that reading them does not pause the other streams of a target for too long. */
    PROMPT_SPREADING(true);

    private final boolean optIn;

    Mechanism() {
        this(false);
    }

    Mechanism(boolean optIn) {
        this.optIn = optIn;
    }

    /** Whether the mechanism is off unless the settings switch it on. */
    public boolean isOptIn() {
        return optIn;
    }

    /** Returns the name used in reports. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
