package org.onyxhinge.core.rollout;

/**
 * What a router knows of the fleet when it decides on a rollout.
 *
 * @param leads whether this router is the one to decide; any router may roll back
 * @param seesFleet whether the other routers report their counts to this one
 * @param newTargets number of ready targets with the new version
 * @param trialSlots slots of the targets with the new version
 * @param servingSlots slots of the targets with the versions in use
 * @param drained whether no router has, or can begin, a call on a target with an earlier version
 */
public record RolloutFleet(
        boolean leads, boolean seesFleet, int newTargets, long trialSlots, long servingSlots, boolean drained) {}
