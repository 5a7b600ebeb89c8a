package org.onyxhinge.core.rollout;

/**
 * Operators' limits on the calls that a version on trial may get before it has proved itself.
 *
 * @param exposureShare fraction of a service's calls that may go to a bad version during a rollout
 * @param exposureAllowance calls that may go to it in addition, over all routers
 */
public record RolloutLimits(double exposureShare, long exposureAllowance) {

    /** Validates the ranges; throws {@link IllegalArgumentException}. */
    public RolloutLimits {
        if (exposureShare < 0 || exposureShare > 1) {
            throw new IllegalArgumentException("exposure share must be between 0 and 1: " + exposureShare);
        }
        if (exposureAllowance < 0) {
            throw new IllegalArgumentException("exposure allowance must not be negative: " + exposureAllowance);
        }
    }
}
