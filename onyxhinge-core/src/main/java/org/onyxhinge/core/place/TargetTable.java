package org.onyxhinge.core.place;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The registered targets by incarnation, those that left lately, and what peers have running on any of them. */
final class TargetTable {

    /** Enough for all targets of a large site to lapse at once; each takes less than a kilobyte. */
    private static final int DEPARTED_KEPT = 256;

    /** More than the targets of the planned size that can be in need at once. */
    private static final int LIMITS_KEPT = 4_096;

    private final String dataCentre;
    private final PlacementSettings settings;
    private final FleetView fleet;
    private final Map<String, ServiceTargets> services = new HashMap<>();
    /** Registered targets by incarnation. */
    private final Map<String, TargetState> targets = new HashMap<>();
    /** Incarnation of each registered target by its id. */
    private final Map<String, String> incarnations = new HashMap<>();
    /** Targets that were registered before, by incarnation, the one that left last at the end. */
    private final Map<String, TargetState> departed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TargetState> eldest) {
            return size() > DEPARTED_KEPT;
        }
    };

    /** Rate limits by incarnation, also of targets that are not registered yet. */
    private final Map<String, TargetLimit> limits = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TargetLimit> eldest) {
            return size() > LIMITS_KEPT;
        }
    };

    private final Map<String, Map<String, TargetUse>> peerUses = new HashMap<>();

    /** A table without targets; see {@link ServiceTargets} for the parameters. */
    TargetTable(String dataCentre, PlacementSettings settings, FleetView fleet) {
        this.fleet = fleet;
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    /** Takes a registry entry in; see {@link Placement#targetSeen}. */
    Optional<TargetState> seen(Target info) {
        TargetState known = targets.get(info.incarnation());
        if (known != null && known.service().name().equals(info.service())) {
            known.update(info);
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
        return before;
    }

    private TargetState newTarget(Target info) {
        ServiceTargets service =
                services.computeIfAbsent(info.service(), s -> new ServiceTargets(s, dataCentre, settings));
        return new TargetState(service, info);
    }

    /** Takes out a target that is no longer registered, and keeps what is known of it for when it is back. */
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

    /** The targets of a service; null while none has been seen. */
    ServiceTargets of(String service) {
        ServiceTargets known = services.get(service);
        if (known != null) {
            known.dealOut(fleet);
        }
        return known;
    }

    /** Takes in what a peer has running, in place of what it said before. */
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
     * Notes that a target has named a rate limit.
     *
     * @param atMs when
     * @return whether another one, or none, was known before
     */
    boolean limitNamed(String incarnation, double perSecond, long atMs) {
        TargetLimit known = limits.get(incarnation);
        if (known != null && known.perSecond() == perSecond) {
            known.namedAgain(atMs);
            return false;
        }
        TargetLimit limit = new TargetLimit(perSecond, atMs);
        limits.put(incarnation, limit);
        byIncarnation(incarnation).ifPresent(t -> limited(t, Optional.of(limit)));
        return true;
    }

    /**
     * Notes an answer that names no rate limit.
     *
     * @param sentAtMs when its call was sent; a limit that was named since stays
     * @return whether a limit is over
     */
    boolean limitNotNamed(String incarnation, long sentAtMs) {
        TargetLimit known = limits.get(incarnation);
        if (known == null || known.namedAtMs() > sentAtMs) {
            return false;
        }
        limits.remove(incarnation);
        byIncarnation(incarnation).ifPresent(t -> limited(t, Optional.empty()));
        return true;
    }

    private static void limited(TargetState target, Optional<TargetLimit> limit) {
        target.limit(limit);
        target.service().limitChanged();
    }

    /** Every rate limit that is known, by incarnation. */
    Map<String, TargetLimit> limits() {
        return limits;
    }
}
