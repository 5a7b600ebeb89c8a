package org.onyxhinge.core.place;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.collect.BoundedMap;

/** The registered targets by incarnation, the targets that left recently, and the calls of peers on any of them. */
final class TargetTable {

    /** Enough for all targets of a large site to lapse at once; each entry takes less than a kilobyte. */
    private static final int MAX_DEPARTED = 256;

    /** More than the number of targets that can advertise a limit at once at the planned fleet size. */
    private static final int MAX_LIMITS = 4_096;

    private final String dataCentre;
    private final PlacementSettings settings;
    private final FleetView fleet;
    private final Map<String, ServiceTargets> services = new HashMap<>();
    /** Registered targets by incarnation. */
    private final Map<String, TargetState> targets = new HashMap<>();
    /** Incarnation of each registered target by its id. */
    private final Map<String, String> incarnations = new HashMap<>();
    /** Formerly registered targets by incarnation; the one that left last comes last. */
    private final Map<String, TargetState> departed = BoundedMap.dropOldest(MAX_DEPARTED);
    /** Rate limits by incarnation, including those of targets that are not registered yet. */
    private final Map<String, TargetLimit> limits = BoundedMap.dropOldest(MAX_LIMITS);

    private final Map<String, Map<String, TargetUse>> peerUses = new HashMap<>();
    private final Map<String, VersionRoles> rolesByService = new HashMap<>();

    /** Creates an empty table; see {@link ServiceTargets} for the parameters. */
    TargetTable(String dataCentre, PlacementSettings settings, FleetView fleet) {
        this.fleet = fleet;
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    /** Applies a registry entry; see {@link Placement#targetSeen}. */
    Optional<TargetState> register(Target info) {
        TargetState known = targets.get(info.incarnation());
        if (known != null && known.service().name().equals(info.service())) {
            known.update(info);
            applyRoles(info.service());
            return Optional.empty();
        }
        Optional<TargetState> before = gone(info.id());
        TargetState state = Optional.ofNullable(departed.remove(info.incarnation()))
                .filter(d -> d.service().name().equals(info.service()))
                .orElseGet(() -> newTarget(info));
        state.update(info);
        state.limit(Optional.ofNullable(limits.get(state.incarnation())));
        state.service().add(state);
        targets.put(state.incarnation(), state);
        incarnations.put(info.id(), state.incarnation());
        Map<String, TargetUse> uses = new HashMap<>();
        peerUses.forEach((peer, all) -> {
            if (all.containsKey(state.incarnation())) {
                uses.put(peer, all.get(state.incarnation()));
            }
        });
        state.peerUses(uses);
        applyRoles(info.service());
        return before;
    }

    /** Sets what decides which calls the targets of a service get. */
    void versionRoles(String service, VersionRoles roles) {
        rolesByService.put(service, roles);
        applyRoles(service);
    }

    void versionRolesRemoved(String service) {
        rolesByService.remove(service);
    }

    /** Names of the services that have targets, or had some. */
    Set<String> serviceNames() {
        return services.keySet();
    }

    boolean anyRegistered(String service) {
        ServiceTargets known = services.get(service);
        return known != null && !known.isEmpty();
    }

    /** Forgets a service without registered targets, and its targets that left recently. */
    void forget(String service) {
        services.remove(service);
        departed.values().removeIf(t -> t.service().name().equals(service));
    }

    private void applyRoles(String service) {
        VersionRoles roles = rolesByService.get(service);
        if (roles != null && services.containsKey(service)) {
            services.get(service).applyRoles(roles);
        }
    }

    private TargetState newTarget(Target info) {
        ServiceTargets service =
                services.computeIfAbsent(info.service(), s -> new ServiceTargets(s, dataCentre, settings));
        return new TargetState(service, info);
    }

    /** Removes a target that is no longer registered and keeps its state in case it is registered again. */
    Optional<TargetState> gone(String id) {
        TargetState known = targets.remove(incarnations.getOrDefault(id, id));
        incarnations.remove(id);
        if (known != null) {
            known.markGone();
            known.service().remove(known);
            departed.put(known.incarnation(), known);
        }
        return Optional.ofNullable(known);
    }

    Collection<TargetState> all() {
        return targets.values();
    }

    Optional<TargetState> byIncarnation(String incarnation) {
        return Optional.ofNullable(targets.get(incarnation));
    }

    /** Returns the targets of a service; null if none has been registered. */
    ServiceTargets of(String service) {
        ServiceTargets known = services.get(service);
        if (known != null) {
            known.assignToGroups(fleet);
        }
        return known;
    }

    /** Replaces the running calls reported by a peer. */
    void peerUses(String peer, Map<String, TargetUse> uses) {
        Map<String, TargetUse> before = uses.isEmpty() ? peerUses.remove(peer) : peerUses.put(peer, uses);
        if (before != null) {
            Set<String> dropped = new HashSet<>(before.keySet());
            dropped.removeAll(uses.keySet());
            dropped.forEach(id -> byIncarnation(id).ifPresent(t -> t.peerUse(peer, null)));
        }
        uses.forEach((id, use) -> byIncarnation(id).ifPresent(t -> t.peerUse(peer, use)));
    }

    /**
     * Records a rate limit advertised by a target.
     *
     * @param atMs when it was advertised
     * @return whether the limit is new or has changed
     */
    boolean limitAdvertised(String incarnation, double perSecond, long atMs) {
        TargetLimit known = limits.get(incarnation);
        if (known != null && known.perSecond() == perSecond) {
            known.advertisedAgain(atMs);
            return false;
        }
        TargetLimit limit = new TargetLimit(perSecond, atMs);
        limits.put(incarnation, limit);
        byIncarnation(incarnation).ifPresent(t -> applyLimit(t, Optional.of(limit)));
        return true;
    }

    /**
     * Records a response that advertises no rate limit.
     *
     * @param sentAtMs when the call was sent; a limit advertised since then is kept
     * @return whether a limit was removed
     */
    boolean limitNotAdvertised(String incarnation, long sentAtMs) {
        TargetLimit known = limits.get(incarnation);
        if (known == null || known.advertisedAtMs() > sentAtMs) {
            return false;
        }
        limits.remove(incarnation);
        byIncarnation(incarnation).ifPresent(t -> applyLimit(t, Optional.empty()));
        return true;
    }

    private static void applyLimit(TargetState target, Optional<TargetLimit> limit) {
        target.limit(limit);
        target.service().limitChanged();
    }

    /** All known rate limits, by incarnation. */
    Map<String, TargetLimit> limits() {
        return limits;
    }
}
