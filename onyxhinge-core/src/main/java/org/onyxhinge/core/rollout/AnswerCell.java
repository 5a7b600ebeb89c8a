package org.onyxhinge.core.rollout;

/**
 * What answers are counted by during a rollout.
 *
 * @param route name of the route
 * @param target incarnation of the target
 * @param trial whether the target runs the version on trial
 */
public record AnswerCell(String route, String target, boolean trial) {}
