package org.onyxhinge.core.route;

/**
 * One service's share of a route's traffic.
 *
 * @param service the service
 * @param weight its weight relative to the route's other shares
 */
public record ServiceShare(String service, int weight) {

    /** Rejects negative weights. */
    public ServiceShare {
        if (weight < 0) {
            throw new IllegalArgumentException("weight of service " + service + " must not be negative: " + weight);
        }
    }
}
