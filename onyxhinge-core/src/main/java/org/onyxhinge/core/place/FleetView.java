package org.onyxhinge.core.place;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One router's view of the other routers: which are registered, in which group, and which are live, meaning that their
 * messages arrive. If no router of a group is live, the group counts as gone and all routers share its targets.
 */
final class FleetView {

    private final String self;
    private final RouterGroups groups;
    private final Set<String> live = new HashSet<>();
    private final RendezvousOrder liveRouters;
    private RendezvousOrder ownGroup;
    private Set<Integer> liveGroups = Set.of();
    private List<String> routersOfOtherGroups = List.of();
    private long version;

    FleetView(String self, String dataCentre, PlacementSettings settings) {
        this.self = self;
        this.groups =
                new RouterGroups(settings.uses(Mechanism.GROUPS) ? RouterGroups.MAX_UNDIVIDED : Integer.MAX_VALUE);
        this.liveRouters = new RendezvousOrder(self);
        this.ownGroup = new RendezvousOrder(self);
        groups.add(self, dataCentre);
    }

    /** Adds a router that is registered in a data centre. */
    void registered(String router, String dataCentre) {
        if (groups.add(router, dataCentre)) {
            update();
        }
    }

    /** Records that a router is no longer registered. */
    void unregistered(String router) {
        if (groups.remove(router)) {
            update();
        }
    }

    /** Marks a router as live. */
    void markLive(String router) {
        if (live.add(router)) {
            liveRouters.add(router);
            update();
        }
    }

    /** Marks a router as silent. */
    void markSilent(String router) {
        if (live.remove(router)) {
            liveRouters.remove(router);
            update();
        }
    }

    /** Drops cached state of a target that will not be looked up again. */
    void forget(String incarnation) {
        ownGroup.forget(incarnation);
        liveRouters.forget(incarnation);
    }

    private void update() {
        version++;
        RendezvousOrder updated = new RendezvousOrder(self);
        Set<Integer> groupsNow = new HashSet<>();
        for (String router : live) {
            groupsNow.add(groups.groupOf(router));
            if (isInOwnGroup(router)) {
                updated.add(router);
            }
        }
        ownGroup = updated;
        liveGroups = groupsNow;
        long own = RendezvousOrder.hash(self);
        routersOfOtherGroups = live.stream()
                .filter(router -> !isInOwnGroup(router) && groups.isDataCentreKnown(router))
                .sorted(Comparator.comparing(router -> RendezvousOrder.weight(RendezvousOrder.hash(router), own)))
                .toList();
    }

    /** Version that changes with everything that affects the assignment of targets. */
    long version() {
        return version;
    }

    RouterGroups groups() {
        return groups;
    }

    /** Whether a router belongs to this router's group. */
    boolean isInOwnGroup(String router) {
        return groups.count() <= 1 || groups.groupOf(router) == groups.groupOf(self);
    }

    /** Who may use the slots of targets that are assigned to a group. */
    TargetState.Owners ownershipOf(int ofGroup) {
        if (ofGroup == groups.groupOf(self)) {
            return TargetState.Owners.OWN_GROUP;
        }
        return liveGroups.contains(ofGroup) ? TargetState.Owners.OTHER_GROUP : TargetState.Owners.SHARED;
    }

    /** The live routers among those that share a target. */
    RendezvousOrder routersSharing(TargetState target) {
        return target.ownership() == TargetState.Owners.OWN_GROUP ? ownGroup : liveRouters;
    }

    /** The live routers among those that share the targets of a service with this one. */
    RendezvousOrder routersSharing(ServiceTargets service) {
        return service.shared() ? liveRouters : ownGroup;
    }

    /**
     * The live routers of other groups, in an order specific to this router. Routers of an older version, which report
     * no data centre and know no groups, are left out.
     */
    List<String> routersOfOtherGroups() {
        return routersOfOtherGroups;
    }

    /** Number of live routers in this router's group; these are notified of its changes at once. */
    int groupPeerCount() {
        return ownGroup.others();
    }

    /** Time until the routers that share the targets of a service learn what this one does now. */
    long propagationDelayMs(ServiceTargets service, boolean callsWait) {
        return service.shared() && groups.count() > 1
                ? PeerUpdateSchedule.PEER_HEARTBEAT_MS
                : PeerUpdateSchedule.intervalMs(groupPeerCount(), callsWait);
    }
}
