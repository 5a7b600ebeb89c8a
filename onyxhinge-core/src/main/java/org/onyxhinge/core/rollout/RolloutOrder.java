package org.onyxhinge.core.rollout;

/**
 * An operator's order to move a service to a new version.
 *
 * @param service the service
 * @param version the version that the service is moved to
 * @param durationMs time from the order until the rollout must have ended
 * @param id identifies the order; a later order for the same service has a higher id
 */
public record RolloutOrder(String service, String version, long durationMs, long id) {

    /** Validates the values; throws {@link IllegalArgumentException} naming the invalid one. */
    public RolloutOrder {
        if (service == null || service.isEmpty()) {
            throw new IllegalArgumentException("rollout: service is missing");
        }
        if (version == null || version.isEmpty()) {
            throw new IllegalArgumentException("rollout of " + service + ": version is missing");
        }
        if (durationMs <= 0) {
            throw new IllegalArgumentException("rollout of " + service + ": duration must be positive: " + durationMs);
        }
    }
}
