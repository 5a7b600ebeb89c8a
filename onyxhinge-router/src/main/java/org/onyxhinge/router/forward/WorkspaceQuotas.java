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
    private final long windowMs;
    private final long startedAtMs;
    private double heardPart = 1;
    private int routers = 1;

    WorkspaceQuotas(long windowMs, long nowMs) {
        this.windowMs = windowMs;
        this.startedAtMs = nowMs;
    }

    /** Sets how many routers there should be and the part of them that is heard. */
    void routers(int known, double part) {
        routers = known;
        heardPart = part;
    }

    /** Takes a call's units; empty when it may go, else how long until it may. */
    Optional<Long> take(WorkspaceAccess workspace, long units, int rank, long nowMs) {
        if (!workspace.limited()) {
            return Optional.empty();
        }
        SharedQuota quota = quotas.computeIfAbsent(workspace.name(), n -> create(workspace, nowMs));
        WorkspaceAccess before = limits.put(workspace.name(), workspace);
        if (before != workspace) {
            quota.limit(workspace.quotaPerSecond(), workspace.quotaBurst());
        }
        return quota.tryTake(units, rank, heardPart, nowMs)
                ? Optional.empty()
                : Optional.of(quota.waitMs(units, rank, heardPart, nowMs));
    }

    /** What this router used before a restart is unknown for the first window of its life. */
    private SharedQuota create(WorkspaceAccess workspace, long nowMs) {
        double unknown = Math.max(0, 1.0 - (double) (nowMs - startedAtMs) / windowMs);
        return SharedQuota.create(
                workspace.quotaPerSecond(), workspace.quotaBurst(), windowMs, unknown / routers, nowMs);
    }

    /** Gives back what a call took that never ran. */
    void giveBack(WorkspaceAccess workspace, long units, long nowMs) {
        SharedQuota quota = quotas.get(workspace.name());
        if (workspace.limited() && quota != null) {
            quota.giveBack(units, nowMs);
        }
    }

    /** What has been let through since the start, by workspace. */
    Map<String, Long> totals() {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.ownTotal()));
        return out;
    }

    /** What has been let through in the window, by workspace. */
    Map<String, Long> recent(long nowMs) {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.ownRecent(nowMs)));
        return out;
    }

    /** Takes another router's use into account; a workspace not yet asked for here is taken in with it. */
    void heard(
            String routerLife,
            Map<String, Long> totals,
            Map<String, Long> recent,
            java.util.function.Function<String, Optional<WorkspaceAccess>> workspaces,
            long nowMs) {
        totals.forEach((name, total) -> {
            SharedQuota quota = quotas.get(name);
            if (quota == null) {
                Optional<WorkspaceAccess> workspace = workspaces.apply(name).filter(WorkspaceAccess::limited);
                if (workspace.isEmpty()) {
                    return;
                }
                quota = create(workspace.get(), nowMs);
                quotas.put(name, quota);
            }
            quota.heard(routerLife, total, recent.getOrDefault(name, 0L), nowMs);
        });
    }

    /** Forgets routers that are gone. */
    void keepOnly(Set<String> routerLives) {
        quotas.values().forEach(q -> q.keepOnly(routerLives));
    }
}
