package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.onyxhinge.core.limit.PriorUsage;
import org.onyxhinge.core.limit.QuotaState;
import org.onyxhinge.core.limit.SharedQuota;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.wire.peer.PeerMessage;

/** The quota of each limited workspace, as the configuration in force sets it. */
final class WorkspaceQuotas {

    private static final Logger LOG = Logger.getLogger(WorkspaceQuotas.class);

    /** Half of what operators tolerate covers what routers do not see of each other at any time; this is the rest. */
    private static final double TOLERANCE_PART = 0.5;

    private static final double MS_PER_SECOND = 1_000;

    private final Map<String, SharedQuota> quotas = new HashMap<>();
    private final Map<String, Limit> limits = new HashMap<>();
    /** Which of its starts each router that was heard is in. */
    private final Map<String, Long> lives = new HashMap<>();

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

    /** Sets the part of the routers there should be that is heard. */
    void heardPart(double part) {
        heardPart = part;
    }

    /**
     * A call that its workspace's quota does not allow now.
     *
     * @param units what it counts
     * @param waitMs how long until it will probably be allowed
     * @param state what decided
     */
    record Exceeded(long units, long waitMs, QuotaState state) {}

    /** A workspace as the configuration {@code version} sets it. */
    private record Limit(long version, WorkspaceAccess workspace) {}

    /** Takes a call's units from its workspace's quota, if it has one; empty when it may go. */
    Optional<Exceeded> take(CallPlan plan, long nowMs) {
        return plan.workspace()
                .map(w -> newest(plan.config().version(), w))
                .flatMap(
                        w -> take(w, w.units(plan.head().tokens()), plan.route().priority(), nowMs));
    }

    /** The workspace by the newest configuration that any call so far was checked by. */
    private WorkspaceAccess newest(long version, WorkspaceAccess workspace) {
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
                        units, quota.waitMs(units, rank, heardPart, nowMs), quota.state(heardPart, nowMs)));
    }

    private SharedQuota create(WorkspaceAccess workspace, long nowMs) {
        SharedQuota quota = SharedQuota.create(
                workspace.quotaPerSecond(), workspace.quotaBurst(), windowMs, pastUse(workspace, nowMs), nowMs);
        // Those that were heard would have said so, had they let anything through.
        lives.forEach(quota::addIdlePeer);
        return quota;
    }

    /** What was used before a restart is unknown for the first window of a router's life, but for what is on record. */
    private PriorUsage pastUse(WorkspaceAccess workspace, long nowMs) {
        if (nowMs - startedAtMs >= windowMs) {
            return new PriorUsage.None();
        }
        return record.map(r -> PriorUsage.recorded(
                        r.units(workspace.name()), recordAgeMs, nowMs - startedAtMs, windowMs, (long)
                                (TOLERANCE_PART * tolerance(workspace))))
                .orElseGet(PriorUsage.Unknown::new);
    }

    private double tolerance(WorkspaceAccess workspace) {
        double limit = workspace.quotaPerSecond() * windowMs / MS_PER_SECOND + workspace.quotaBurst();
        return limit * settings.quotaToleranceRatio() + settings.quotaToleranceUnits();
    }

    /** True until a record was found, or calls were counted without one: later records say no more than peers do. */
    boolean wantsRecord() {
        return record.isEmpty() && quotas.isEmpty();
    }

    /** Takes in what was on record when this router started. */
    void recorded(UsageRecord used) {
        long ageMs = startedAtEpochMs - used.asOfMs();
        boolean plausible = !(PriorUsage.recorded(0, ageMs, 0, windowMs, 0) instanceof PriorUsage.Unknown);
        if (wantsRecord() && plausible) {
            record = Optional.of(used);
            recordAgeMs = ageMs;
            LOG.infof(
                    "usage record read ageMs=%d workspaces=%d",
                    ageMs, used.unitsByWorkspace().size());
        }
    }

    /** How old the record was that this router found at its start; -1 when it found none. */
    long recordAgeMs() {
        return record.isPresent() ? Math.max(0, recordAgeMs) : -1;
    }

    /** What all routers have used in the window, for the record. */
    Map<String, Long> usedInWindow(long nowMs) {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.usedInWindow(nowMs)));
        return out;
    }

    /** Gives back what a call took that never ran. */
    void giveBack(CallPlan plan, long nowMs) {
        plan.workspace().filter(WorkspaceAccess::limited).ifPresent(w -> {
            SharedQuota quota = quotas.get(w.name());
            if (quota != null) {
                quota.giveBack(w.units(plan.head().tokens()), plan.route().priority(), nowMs);
            }
        });
    }

    /** What has been let through since the start, by workspace. */
    Map<String, Long> totals() {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> out.put(name, q.ownTotal()));
        return out;
    }

    /** What all routers let through in the window, by workspace, as far as it is known here. */
    Map<String, Long> knownWindows(long nowMs) {
        Map<String, Long> out = new HashMap<>();
        quotas.forEach((name, q) -> q.knownUsage(nowMs).ifPresent(units -> out.put(name, units)));
        return out;
    }

    /** Takes another router's use into account; a workspace not yet asked for here is taken in with it. */
    void heard(PeerMessage.Usage usage, Function<String, Optional<WorkspaceAccess>> workspaces, long nowMs) {
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
            quota.heard(usage.routerId(), usage.life(), total, known, nowMs);
        });
        lives.put(usage.routerId(), usage.life());
    }
}
