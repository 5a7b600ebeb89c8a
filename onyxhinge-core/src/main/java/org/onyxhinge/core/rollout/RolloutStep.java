package org.onyxhinge.core.rollout;

/** A decision that moves a rollout to another phase. */
public enum RolloutStep {
    /** Sends all new calls to the new version. */
    PROMOTE,
    /** Ends the rollout in favour of the new version. */
    COMPLETE,
    /** Ends the rollout in favour of the earlier versions. */
    ROLL_BACK
}
