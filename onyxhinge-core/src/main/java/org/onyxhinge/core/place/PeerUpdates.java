package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import org.onyxhinge.core.share.WorkspaceShares;

/** State that a router reports to its peers at one point in time; all routers of a group receive the same. */
public final class PeerUpdates {

    private final FleetView fleet;
    private final TargetTable targets;
    private final Map<String, ServiceDemand> demands;
    private final List<TargetState> inUse = new ArrayList<>();
    private final Map<Integer, PeerUpdate> byGroup = new HashMap<>();
    private final long nowMs;

    PeerUpdates(FleetView fleet, TargetTable targets, Map<String, ServiceDemand> demands, long nowMs) {
        this.fleet = fleet;
        this.targets = targets;
        this.demands = demands;
        this.nowMs = nowMs;
        for (TargetState t : targets.all()) {
            if (t.claimedCalls(nowMs) > 0) {
                inUse.add(t);
            }
        }
    }

    /** Returns the update for one peer. */
    public PeerUpdate forRouter(String router) {
        boolean sameGroup = fleet.isInOwnGroup(router);
        return byGroup.computeIfAbsent(fleet.groups().groupOf(router), group -> updateFor(group, sameGroup));
    }

    private PeerUpdate updateFor(int group, boolean sameGroup) {
        Map<String, TargetUse> uses = new HashMap<>();
        Set<String> borrowed = new HashSet<>();
        for (TargetState t : inUse) {
            if (t.isVisibleTo(group)) {
                uses.put(t.incarnation(), new TargetUse(t.claimedCalls(nowMs), t.ownPrefillTokens()));
                if (t.ownership() == TargetState.Owners.OTHER_GROUP) {
                    borrowed.add(t.incarnation());
                }
            }
        }
        return new PeerUpdate(sameGroup, uses, waiting(sameGroup), rates(sameGroup), workspaceUse(sameGroup), borrowed);
    }

    private Map<String, Map<Integer, Integer>> waiting(boolean sameGroup) {
        Map<String, Map<Integer, Integer>> out = new HashMap<>();
        forEachSharedService(sameGroup, (service, demand) -> {
            if (!demand.waiting().isEmpty()) {
                out.put(service.name(), demand.waiting().countByPrecedence(c -> service.canBeOnTime(c, nowMs)));
            }
        });
        return out;
    }

    private Map<String, ServiceRates> rates(boolean sameGroup) {
        Map<String, ServiceRates> out = new HashMap<>();
        forEachSharedService(sameGroup, (service, demand) -> out.put(service.name(), demand.rates(nowMs)));
        return out;
    }

    private Map<String, List<WorkspaceShares.Use>> workspaceUse(boolean sameGroup) {
        Map<String, List<WorkspaceShares.Use>> out = new HashMap<>();
        forEachSharedService(
                sameGroup,
                (service, demand) -> demand.workspaceShares()
                        .map(s -> s.ownUse(nowMs))
                        .filter(uses -> !uses.isEmpty())
                        .ifPresent(uses -> out.put(service.name(), uses)));
        return out;
    }

    /** Visits the services whose targets are shared with routers of the own group, or else with all routers. */
    private void forEachSharedService(boolean sameGroup, BiConsumer<ServiceTargets, ServiceDemand> each) {
        demands.forEach((name, demand) -> {
            ServiceTargets service = targets.of(name);
            if (service != null && (sameGroup || service.shared())) {
                each.accept(service, demand);
            }
        });
    }
}
