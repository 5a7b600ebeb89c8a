package org.onyxhinge.tools.fleet;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.PlacementSettings;

/** How simulated routers place calls: by the production placement code, with mechanisms on or off, or by a baseline. */
sealed interface FleetPolicy {

    /** Returns the policy's name in reports. */
    String label();

    /**
     * The production placement code.
     *
     * @param label name in reports
     * @param settings enabled mechanisms
     * @param peerUpdates whether routers send each other updates about their calls
     */
    record PlacementPolicy(String label, PlacementSettings settings, boolean peerUpdates) implements FleetPolicy {}

    /** Each call goes to the next engine in turn; calls queue at the engines. */
    record RoundRobin() implements FleetPolicy {

        @Override
        public String label() {
            return "round-robin";
        }
    }

    /** Each call goes to the engine with the fewest calls from the same router; calls queue at the engines. */
    record LeastOutstanding() implements FleetPolicy {

        @Override
        public String label() {
            return "least-outstanding";
        }
    }

    /** Returns the current policy, variants with one mechanism or the peer updates switched, and the baselines. */
    static List<FleetPolicy> all() {
        List<FleetPolicy> all = new ArrayList<>();
        all.add(new PlacementPolicy("landed", PlacementSettings.defaults(), true));
        for (Mechanism m : Mechanism.values()) {
            all.add(
                    m.isOptIn()
                            ? new PlacementPolicy(
                                    "with-" + m.label(),
                                    PlacementSettings.defaults().with(Set.of(m)),
                                    true)
                            : new PlacementPolicy(
                                    "no-" + m.label(),
                                    PlacementSettings.defaults().without(m),
                                    true));
        }
        all.add(new PlacementPolicy(
                "with-on-time-first+planned-returns",
                PlacementSettings.defaults().with(Set.of(Mechanism.ON_TIME_FIRST, Mechanism.PLANNED_RETURNS)),
                true));
        all.add(new PlacementPolicy("all-mechanisms", new PlacementSettings(EnumSet.allOf(Mechanism.class)), true));
        all.add(new PlacementPolicy("no-peers", PlacementSettings.defaults(), false));
        all.add(new RoundRobin());
        all.add(new LeastOutstanding());
        return List.copyOf(all);
    }
}
