package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.core.limit.PriorUsage;
import org.onyxhinge.core.limit.QuotaState;
import org.onyxhinge.core.limit.SharedQuota;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.wire.peer.PeerMessage;

/** The quota of each limited workspace, as set by the active configuration. */
final class WorkspaceQuotas {

    private static final Logger LOG = Logger.getLogger(WorkspaceQuotas.class);

    /**
     * Half of the tolerance covers the usage that routers have not reported to each other yet at any time; this is the
     * remaining share.
     */
    private static final double RESTART_TOLERANCE_SHARE = 0.5;

    private static final double MS_PER_SECOND = 1_000;

    /** Number of positions at which a router's retry times may begin. */
    private static final int SPREAD_STARTS = 997;

    /** Names of forgotten workspaces that are kept in case they return. */
    private static final int MAX_FORGOTTEN = 256;

    private final Map<String, SharedQuota> quotas = new HashMap<>();
    private final Map<String, Limit> limits = new HashMap<>();
    /** Workspaces whose quotas were forgotten here, so that their totals at the other routers are unknown. */
    private final Map<String, Boolean> forgotten = BoundedMap.dropOldest(MAX_FORGOTTEN);

    private final Map<String, HeardRouter> heardRouters = new HashMap<>();
    private final Set<String> leftRouters = new HashSet<>();

    private final ForwardingSettings settings;
    private final long windowMs;
    private final long startedAtMs;
    private final long startedAtEpochMs = System.currentTimeMillis();
    private double heardPart = 1;
    private Optional<UsageRecord> record = Optional.empty();
    private long recordAgeMs;

    WorkspaceQuotas(ForwardingSettings settings, long nowMs) {
        this.settings = settings;
        this.windowMs = settings.quotaWindowMs();
        this.startedAtMs = nowMs;
    }

    /** Sets the fraction of the expected routers that messages arrive from. */
    void heardPart(double part) {
        heardPart = part;
    }

    /**
     * Refusal of a call by its workspace's quota.
     *
     * @param units units that the call counts
     * @param waitMs expected time until the call would be allowed
     * @param state quota state that led to the refusal
     */
    record Exceeded(long units, long waitMs, QuotaState state) {}

    /**
     * Another router that has reported its usage.
     *
     * @param startId identifies its start ({@code life})
     * @param atMs when it last reported
     */
    private record HeardRouter(long startId, long atMs) {}

    /** A workspace as set by configuration {@code version}. */
    private record Limit(long version, WorkspaceAccess workspace) {}

    /** Charges a call's units to its workspace's quota, if it has one; empty if the call may proceed. */
    Optional<Exceeded> take(CallPlan plan, long nowMs) {
        return plan.workspace()
                .map(w -> newestLimits(plan.config().version(), w))
                .flatMap(
                        w -> take(w, w.units(plan.head().tokens()), plan.route().priority(), nowMs));
    }

    /** The workspace as set by the newest configuration that any call so far was checked against. */
    private WorkspaceAccess newestLimits(long version, WorkspaceAccess workspace) {
        return limits.merge(
                        workspace.name(),
                        new Limit(version, workspace),
                        (known, seen) -> seen.version() > known.version() ? seen : known)
                .workspace();
    }

    private Optional<Exceeded> take(WorkspaceAccess workspace, long units, int rank, long nowMs) {
        if (!workspace.limited()) {
            return Optional.empty();
        }
        SharedQuota quota = quotas.computeIfAbsent(workspace.name(), n -> create(workspace, nowMs));
        quota.limit(workspace.quotaPerSecond(), workspace.quotaBurst());
        return quota.tryTake(units, rank, heardPart, nowMs)
                ? Optional.empty()
                : Optional.of(new Exceeded(
                        units, quota.retryAfterMs(units, rank, heardPart, nowMs), quota.state(heardPart, nowMs)));
    }

    private SharedQuota create(WorkspaceAccess workspace, long nowMs) {
        SharedQuota quota = SharedQuota.create(
                workspace.quotaPerSecond(), workspace.quotaBurst(), windowMs, pastUse(workspace, nowMs), nowMs);
        if (settings.contention().repeatLimits()) {
            quota.spreadRetries(Math.floorMod(settings.routerId().hashCode(), SPREAD_STARTS) / (double) SPREAD_STARTS);
        }
        // Routers that were heard from have reported no usage of this workspace, so they have not let anything through.
        if (forgotten.remove(workspace.name()) == null) {
            heardRouters.forEach((router, heard) -> quota.addIdlePeer(router, heard.startId()));
        }
        return quota;
    }

    /**
     * Usage before a restart is unknown during the first window after the start, except for what the stored record
     * says.
     */
    private PriorUsage pastUse(WorkspaceAccess workspace, long nowMs) {
        if (nowMs - startedAtMs >= windowMs) {
            return new PriorUsage.None();
        }
        return record.map(r -> PriorUsage.recorded(
                        r.units(workspace.name()), recordAgeMs, nowMs - startedAtMs, windowMs, (long)
                                (RESTART_TOLERANCE_SHARE * tolerance(workspace))))
                .orElseGet(PriorUsage.Unknown::new);
    }

    private double tolerance(WorkspaceAccess workspace) {
        double limit = workspace.quotaPerSecond() * windowMs / MS_PER_SECOND + workspace.quotaBurst();
        return limit * settings.quotaToleranceRatio() + settings.quotaToleranceUnits();
    }

    /**
     * True until a record was restored, or calls were counted without one: later records say no more than the peers do.
     */
    boolean needsRecord() {
        return record.isEmpty() && quotas.isEmpty();
    }

    /** Applies the record that was found when this router started. */
    void restore(UsageRecord used) {
        long ageMs = startedAtEpochMs - used.asOfMs();
        boolean plausible = !(PriorUsage.recorded(0, ageMs, 0, windowMs, 0) instanceof PriorUsage.Unknown);
        if (needsRecord() && plausible) {
            record = Optional.of(used);
            recordAgeMs = ageMs;
            LOG.infof(
                    "usage record read ageMs=%d workspaces=%d",
                    ageMs, used.unitsByWorkspace().size());
        }
    }

    /** Age of the record at the start of this router; -1 if it found none. */
    long recordAgeMs() {
        return record.isPresent() ? Math.max(0, recordAgeMs) : -1;
    }

    /** Usage of all routers in the window, for the record. */
    Map<String, Long> usedInWindow(long nowMs) {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.usedInWindow(nowMs)));
        return out;
    }

    /** Refunds the units of a call that was never executed. */
    void giveBack(CallPlan plan, long nowMs) {
        plan.workspace().filter(WorkspaceAccess::limited).ifPresent(w -> {
            SharedQuota quota = quotas.get(w.name());
            if (quota != null) {
                quota.giveBack(w.units(plan.head().tokens()), plan.route().priority(), nowMs);
            }
        });
    }

    /** Units let through here since the start, by workspace. */
    Map<String, Long> totals() {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.ownTotal()));
        return out;
    }

    /** Units that all routers let through in the window, by workspace, as far as known here. */
    Map<String, Long> knownWindows(long nowMs) {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> q.knownUsage(nowMs).ifPresent(units -> out.put(name, units)));
        return out;
    }

    /** Adds another router's usage; creates quotas for workspaces that have not been used here yet. */
    void recordPeerUsage(PeerMessage.Usage usage, Function<String, Optional<WorkspaceAccess>> workspaces, long nowMs) {
        usage.totals().forEach((name, total) -> {
            SharedQuota quota = quotas.get(name);
            if (quota == null) {
                Optional<WorkspaceAccess> workspace = workspaces.apply(name).filter(WorkspaceAccess::limited);
                if (workspace.isEmpty()) {
                    return;
                }
                quota = create(workspace.get(), nowMs);
                quotas.put(name, quota);
            }
            Long window = usage.windows().get(name);
            OptionalLong known = window == null ? OptionalLong.empty() : OptionalLong.of(window);
            quota.heard(usage.routerId(), usage.startId(), total, known, nowMs);
        });
        heardRouters.put(usage.routerId(), new HeardRouter(usage.startId(), nowMs));
        leftRouters.remove(usage.routerId());
    }

    /** Forgets the workspaces that are not configured any more, once nothing that they used is in the window. */
    void retain(Set<String> workspaces, long nowMs) {
        limits.keySet().retainAll(workspaces);
        quotas.entrySet().removeIf(e -> {
            boolean gone = !workspaces.contains(e.getKey()) && e.getValue().isUnused(nowMs);
            if (gone) {
                forgotten.put(e.getKey(), true);
            }
            return gone;
        });
    }

    /** Records that a router is gone; its totals are kept as long as what it let through may be in the window. */
    void routerLeft(String router) {
        if (heardRouters.containsKey(router)) {
            leftRouters.add(router);
        }
    }

    /** Forgets the routers that are gone and whose last usage has left the window. */
    void sweep(long nowMs) {
        leftRouters.removeIf(router -> {
            boolean over = nowMs - heardRouters.get(router).atMs() > windowMs;
            if (over) {
                heardRouters.remove(router);
                quotas.values().forEach(q -> q.forgetPeer(router));
            }
            return over;
        });
    }

    /** Number of workspaces and routers that something is kept for. */
    int size() {
        return limits.size()
                + quotas.size()
                + heardRouters.size()
                + quotas.values().stream().mapToInt(SharedQuota::peerCount).sum();
    }
}
