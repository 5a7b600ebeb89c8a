package org.onyxhinge.core.place;

import java.util.EnumSet;
import java.util.Set;

/**
 * The mechanisms that a {@link Placement} uses. All are enabled, except in experiments that measure the effect of one.
 *
 * @param mechanisms the enabled mechanisms
 */
public record PlacementSettings(Set<Mechanism> mechanisms) {

    /** Makes a defensive copy. */
    public PlacementSettings {
        mechanisms = Set.copyOf(mechanisms);
    }

    /** Returns settings with every mechanism enabled. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(EnumSet.allOf(Mechanism.class));
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
