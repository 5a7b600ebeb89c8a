package org.onyxhinge.core.model;

/**
 * A customer's workspace and its share of the engines.
 *
 * @param name operator-chosen name
 * @param maxInFlight maximum requests of this workspace queued or running on one router
 */
public record Workspace(String name, int maxInFlight) {

    /** Checks the ranges; throws {@link IllegalArgumentException} naming the bad field. */
    public Workspace {
        Checks.name("workspace", name);
        Checks.atLeast("maxInFlight", maxInFlight, 1);
    }
}
