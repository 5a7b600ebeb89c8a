package org.onyxhinge.tools.experiment;

import org.onyxhinge.core.schedule.RoutingPolicy;

/**
 * Parameters of a run of a comparison.
 *
 * @param policy routing policy
 * @param scenario load pattern or disturbance during the run
 * @param loadFactor ratio of the offered load to the capacity of the site
 */
record RunSpec(RoutingPolicy policy, Scenario scenario, double loadFactor) {

    String label() {
        return scenario.label() + " x" + loadFactor;
    }
}
