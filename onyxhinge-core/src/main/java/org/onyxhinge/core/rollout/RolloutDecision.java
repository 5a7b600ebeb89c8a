package org.onyxhinge.core.rollout;

/**
 * A decision about a rollout.
 *
 * @param step the step to take
 * @param reason the reason, for the log
 */
public record RolloutDecision(RolloutStep step, String reason) {}
