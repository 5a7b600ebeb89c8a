package org.onyxhinge.tools.experiment;

import org.onyxhinge.core.schedule.RoutingPolicy;

/**
 * One run of a comparison.
 *
 * @param policy the routing policy
 * @param scenario what happens during the run
 * @param loadFactor offered load over the site's capacity
 */
record Cell(RoutingPolicy policy, Scenario scenario, double loadFactor) {

    String label() {
        return scenario.label() + " x" + loadFactor;
    }
}
