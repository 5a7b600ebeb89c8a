package org.onyxhinge.core.place;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The mechanisms that a {@link Placement} uses.
 *
 * @param mechanisms the enabled mechanisms
 */
public record PlacementSettings(Set<Mechanism> mechanisms) {

    /** Makes a defensive copy. */
    public PlacementSettings {
        mechanisms = Set.copyOf(mechanisms);
    }

    /** Returns settings with every mechanism enabled that is not opt-in. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                Arrays.stream(Mechanism.values()).filter(m -> !m.isOptIn()).collect(Collectors.toSet()));
    }

    /** Returns a copy with further mechanisms enabled. */
    public PlacementSettings with(Set<Mechanism> further) {
        Set<Mechanism> all = new HashSet<>(mechanisms);
        all.addAll(further);
        return new PlacementSettings(all);
    }

    /** Returns a copy with one mechanism disabled. */
    public PlacementSettings without(Mechanism mechanism) {
        Set<Mechanism> rest = EnumSet.copyOf(mechanisms);
        rest.remove(mechanism);
        return new PlacementSettings(rest);
    }

    /** Returns whether a mechanism is enabled. */
    public boolean uses(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }
}
