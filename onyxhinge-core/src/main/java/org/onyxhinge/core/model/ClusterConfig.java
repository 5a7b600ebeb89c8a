package org.onyxhinge.core.model;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One accepted version of the operators' configuration. Immutable; a new version replaces it as a whole.
 *
 * @param revision the key-value service's revision that this version was read at; larger is newer
 * @param tiers tiers by name
 * @param workspaces workspaces by name
 * @param services services by name
 * @param pools pools by name
 */
public record ClusterConfig(
        long revision,
        Map<String, Tier> tiers,
        Map<String, Workspace> workspaces,
        Map<String, Service> services,
        Map<String, Pool> pools) {

    /** Makes unmodifiable copies of the maps. */
    public ClusterConfig {
        tiers = Map.copyOf(new TreeMap<>(tiers));
        workspaces = Map.copyOf(new TreeMap<>(workspaces));
        services = Map.copyOf(new TreeMap<>(services));
        pools = Map.copyOf(new TreeMap<>(pools));
    }

    /** Returns an empty configuration at revision 0. */
    public static ClusterConfig empty() {
        return new ClusterConfig(0, Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Looks up a tier by name. */
    public Optional<Tier> tier(String name) {
        return Optional.ofNullable(tiers.get(name));
    }

    /** Looks up a workspace by name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** Looks up a service by name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The number of tiers, used to size per-tier structures. */
    public int tierCount() {
        return tiers.size();
    }

    /** The rank of the least important tier; {@link Integer#MAX_VALUE} when there is no tier. */
    public int lowestRank() {
        return tiers.values().stream().mapToInt(Tier::rank).max().orElse(Integer.MAX_VALUE);
    }
}
