package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.onyxhinge.core.limit.SharedQuota;
import org.onyxhinge.core.route.WorkspaceAccess;

/** The quota of each limited workspace, as the configuration in force sets it. */
final class WorkspaceQuotas {

    private final Map<String, SharedQuota> quotas = new HashMap<>();
    private final Map<String, WorkspaceAccess> limits = new HashMap<>();
    private double heardPart = 1;

    /** Sets the part of the routers that are heard, for buckets that refill only at it. */
    void heardPart(double part) {
        heardPart = part;
    }

    /**
     * Takes a call's units; empty when it may go, else how long until it may.
     */
    Optional<Long> take(WorkspaceAccess workspace, long units, long nowMs) {
        if (!workspace.limited()) {
            return Optional.empty();
        }
        SharedQuota quota = quotas.computeIfAbsent(
                workspace.name(),
                n -> SharedQuota.create(workspace.quotaPerSecond(), workspace.quotaBurst(), nowMs));
        WorkspaceAccess before = limits.put(workspace.name(), workspace);
        if (before != workspace) {
            quota.limit(workspace.quotaPerSecond(), workspace.quotaBurst(), heardPart, nowMs);
        }
        return quota.tryTake(units, heardPart, nowMs)
                ? Optional.empty()
                : Optional.of(quota.waitMs(units, heardPart));
    }

    /** Gives back what a call took that never ran. */
    void giveBack(WorkspaceAccess workspace, long units) {
        SharedQuota quota = quotas.get(workspace.name());
        if (workspace.limited() && quota != null) {
            quota.giveBack(units);
        }
    }

    /** What has been let through since the start, by workspace. */
    Map<String, Long> totals() {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.ownTotal()));
        return out;
    }

    /** Takes another router's totals into account. */
    void heard(String routerLife, Map<String, Long> totals) {
        totals.forEach((workspace, total) -> {
            SharedQuota quota = quotas.get(workspace);
            if (quota != null) {
                quota.heard(routerLife, total);
            }
        });
    }

    /** Forgets routers that are gone. */
    void keepOnly(Set<String> routerLives) {
        quotas.values().forEach(q -> q.keepOnly(routerLives));
    }
}
