package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.onyxhinge.core.admit.FirstByteMargin;

/** The targets of one service, with averages over all of them. */
final class ServiceTargets {

    /**
     * For shorter prompts the time to first byte reflects the duration of one engine step and not the prefill speed.
     */
    static final long MIN_PREFILL_SAMPLE_TOKENS = 500;

    /** Initial averages; a few responses replace them. */
    private static final double INITIAL_GAP_MS = 25;

    private static final double INITIAL_PREFILL_MS_PER_TOKEN = 0.03;
    private static final double INITIAL_PLAIN_MS = 50;

    /** A target is an outlier if it fails this much more often than its service does on average. */
    private static final double OUTLIER_RATE = 0.2;

    private static final double OUTLIER_FACTOR = 2.0;
    /** At most this fraction of a service is penalized, so that a failing service always keeps some targets. */
    private static final double MAX_PENALIZED_FRACTION = 0.34;

    /** Makes an outlier the last choice without excluding it. */
    private static final double OUTLIER_PENALTY_MS = 1e6;

    /**
     * Cost of a target in another data centre, as a fraction of the response time: traffic between data centres is
     * billed, and a slightly slower response from the local data centre is as good.
     */
    private static final double REMOTE_COST_FACTOR = 1.0;

    private static final double REMOTE_COST_MS = 20;

    /** Number of targets that get most of the trial calls, over all groups of routers. */
    private static final int TRIAL_TARGETS = 12;

    private static final double MS_PER_SECOND = 1_000;

    private final String name;
    private final String dataCentre;
    private final PlacementSettings settings;
    private final List<TargetState> targets = new ArrayList<>();
    /** Targets whose slots this router may take, by its group. */
    private List<TargetState> ownTargets = List.of();
    /** Targets with a version on trial whose slots this router may take. */
    private List<TargetState> ownTrialTargets = List.of();
    /** How many of them get most of the trial calls. */
    private int trialTargetsUsed;
    /** Targets of other groups with a slot that is, or recently was, reserved for this router. */
    private final Set<TargetState> borrowedTargets = new LinkedHashSet<>();

    /** Versions that queued calls need; other calls use their targets only if no others are free. */
    private Set<String> awaitedVersions = Set.of();

    private boolean shared = true;
    private boolean assigned;
    private long assignedAtVersion;
    private final MovingAverage gapMs = MovingAverage.withInitialValue(INITIAL_GAP_MS);
    private final MovingAverage prefillMs = MovingAverage.withInitialValue(INITIAL_PREFILL_MS_PER_TOKEN);
    private final FirstByteMargin margin = FirstByteMargin.create();
    private final MovingAverage plainMs = MovingAverage.withInitialValue(INITIAL_PLAIN_MS);

    /** Creates the targets of a service, as seen by a router in {@code dataCentre}. */
    ServiceTargets(String name, String dataCentre, PlacementSettings settings) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    String name() {
        return name;
    }

    boolean isEmpty() {
        return targets.isEmpty();
    }

    void add(TargetState target) {
        targets.add(target);
        assigned = false;
    }

    void remove(TargetState target) {
        targets.remove(target);
        borrowedTargets.remove(target);
        assigned = false;
    }

    /** Assigns the targets to groups of routers, if anything has changed since the last assignment. */
    void assignToGroups(FleetView fleet) {
        if (assigned && assignedAtVersion == fleet.version()) {
            return;
        }
        assigned = true;
        assignedAtVersion = fleet.version();
        // Each role is divided by itself, so that every group gets its part of the targets with a version on trial.
        Map<TargetRole, List<TargetState>> byRole = new EnumMap<>(TargetRole.class);
        for (TargetRole role : TargetRole.values()) {
            byRole.put(role, targets.stream().filter(t -> t.role() == role).toList());
        }
        shared = fleet.groups().isShared(byRole.get(TargetRole.SERVING).size());
        byRole.values().forEach(some -> assignToGroups(some, fleet));
        ownTargets = ownOf(byRole.get(TargetRole.SERVING));
        ownTrialTargets = ownOf(byRole.get(TargetRole.TRIAL)).stream()
                .sorted(Comparator.comparing(t -> RendezvousOrder.hash(t.incarnation())))
                .toList();
        trialTargetsUsed =
                Math.max(1, TRIAL_TARGETS / Math.max(1, fleet.groups().count()));
        borrowedTargets.removeAll(ownTargets);
        for (TargetState t : targets) {
            t.limit()
                    .ifPresent(
                            limit -> limit.managedHere(fleet.routersSharing(t).position(t.incarnation()) == 0));
        }
    }

    private static void assignToGroups(List<TargetState> some, FleetView fleet) {
        if (fleet.groups().isShared(some.size())) {
            some.forEach(TargetState::shareWithAll);
        } else {
            Map<String, Integer> groups =
                    fleet.groups().assign(some.stream().map(TargetState::info).toList());
            some.forEach(t -> t.assignTo(groups.get(t.incarnation()), fleet));
        }
    }

    private static List<TargetState> ownOf(List<TargetState> some) {
        return some.stream()
                .filter(t -> t.ownership() != TargetState.Owners.OTHER_GROUP)
                .toList();
    }

    /** Sets which calls the targets with a version get. */
    void applyRoles(VersionRoles roles) {
        for (TargetState t : targets) {
            if (t.role(roles.roleOf(t.info().version()))) {
                assigned = false;
            }
        }
    }

    /** Number of ready targets with a version. */
    int count(String version) {
        return (int) targets.stream()
                .filter(t -> t.isReady() && t.info().version().equals(version))
                .count();
    }

    /** Number of slots of the ready targets with a role. */
    long slots(TargetRole role) {
        return targets.stream()
                .filter(t -> t.isReady() && t.role() == role)
                .mapToLong(t -> t.info().slots())
                .sum();
    }

    /** Invalidates the assignment because the rate limit of a target has changed. */
    void limitChanged() {
        assigned = false;
    }

    /** Whether all routers share all targets of the service instead of dividing them among groups. */
    boolean shared() {
        return shared;
    }

    /** Records that a slot of a target is reserved for this router, whichever group the target is assigned to. */
    void reservedForSelf(TargetState target, long untilMs) {
        target.reservedForSelf(untilMs);
        if (target.ownership() == TargetState.Owners.OTHER_GROUP) {
            borrowedTargets.add(target);
        }
    }

    /** Keeps a borrowed slot, on which a call has ended, for the next call. */
    void keepBorrowedSlot(TargetState target, long untilMs) {
        target.keepBorrowedSlot(untilMs);
        borrowedTargets.add(target);
    }

    /** Targets whose slots this router may take: those of its group, and those with a slot reserved for it. */
    private List<TargetState> usableTargets(long nowMs) {
        if (borrowedTargets.isEmpty()) {
            return ownTargets;
        }
        borrowedTargets.removeIf(t -> !t.isReservedForSelf(nowMs));
        List<TargetState> out = new ArrayList<>(ownTargets);
        out.addAll(borrowedTargets);
        return out;
    }

    /** Targets that may get a call by their role and version, and whose slots this router may take. */
    private List<TargetState> usableTargets(Call call, long nowMs) {
        return call.version().isEmpty() ? usableTargets(nowMs) : targetsThatContinue(call, nowMs);
    }

    /**
     * Targets that can continue the stream of a call; those of other groups only if this router's group has none, or if
     * a slot is reserved there.
     */
    private List<TargetState> targetsThatContinue(Call call, long nowMs) {
        List<TargetState> all = targets.stream().filter(t -> t.takes(call)).toList();
        List<TargetState> own = all.stream()
                .filter(t -> t.ownership() != TargetState.Owners.OTHER_GROUP || t.isReservedForSelf(nowMs))
                .toList();
        return own.isEmpty() ? all : own;
    }

    /** Fraction of the slots of the service that a call can use. */
    double slotFraction(Call call, long nowMs) {
        if (call.version().isEmpty()) {
            return 1;
        }
        long usable = slots(targetsThatContinue(call, nowMs));
        return usable == 0 ? 1 : (double) usable / Math.max(usable, slots(ownTargets));
    }

    private static long slots(List<TargetState> some) {
        return some.stream().mapToLong(t -> t.info().slots()).sum();
    }

    /** Sets the versions that queued calls need because they continue streams. */
    void awaitedVersions(Set<String> versions) {
        awaitedVersions = versions;
    }

    boolean anyVersionAwaited() {
        return !awaitedVersions.isEmpty();
    }

    /** Whether a target is better left to queued calls that need its version. */
    private boolean isAwaitedByOthers(TargetState t, Call call) {
        return call.version().isEmpty()
                && !awaitedVersions.isEmpty()
                && awaitedVersions.contains(t.info().version());
    }

    /**
     * Whether any target may get a call by its role and version, now or later. A call that continues a stream does not
     * wait for a new target of its version, since there may never be one.
     */
    boolean anyTakes(Call call) {
        return targets.stream()
                .anyMatch(t -> t.takes(call)
                        && (call.version().isEmpty() || !call.avoid().contains(t.incarnation())));
    }

    MovingAverage gapMs() {
        return gapMs;
    }

    MovingAverage prefillMs() {
        return prefillMs;
    }

    MovingAverage plainMs() {
        return plainMs;
    }

    /** How much longer than predicted first bytes take. */
    FirstByteMargin margin() {
        return margin;
    }

    /**
     * Returns the target where the response is expected to end first, including the network cost. A target that does
     * not suit the call is used only if none suits it: a response that cannot complete in time holds a slot for long
     * and is then cut off. A call that can no longer be on time does not wait for a target that keeps its gaps, or
     * shorter prompts could take that target's slots until its deadline.
     *
     * @param mayTake whether this router may take a free slot of a target
     */
    Optional<TargetState> best(Call call, Predicate<TargetState> mayTake, long nowMs) {
        TargetState best = null;
        double bestCost = Double.MAX_VALUE;
        double meanFailures = meanFailureRate();
        TargetState bestAwaited = null;
        double bestAwaitedCost = Double.MAX_VALUE;
        // Null while there are none, which is nearly always the case: this method runs for every call.
        List<Outlier> outliers = null;
        boolean anySuits = settings.uses(Mechanism.SUITABLE_TARGETS) && anySuits(call, nowMs, t -> true);
        boolean spreadPrompts = settings.uses(Mechanism.PROMPT_SPREADING)
                && canBeOnTime(call, nowMs)
                && anySuits(call, nowMs, t -> mayKeepGaps(t, call, nowMs));
        for (TargetState t : usableTargets(call, nowMs)) {
            if (!t.isAvailable(call, nowMs)
                    || call.avoid().contains(t.incarnation())
                    || anySuits && !t.suits(call, nowMs)
                    || spreadPrompts && !t.keepsGaps(call)
                    || !mayTake.test(t)) {
                continue;
            }
            double cost = t.limit().filter(l -> l.needsProbe(nowMs)).isPresent() ? 0 : cost(call, t);
            if (isAwaitedByOthers(t, call)) {
                bestAwaited = cost < bestAwaitedCost ? t : bestAwaited;
                bestAwaitedCost = Math.min(cost, bestAwaitedCost);
            } else if (isOutlier(t, meanFailures)) {
                outliers = outliers == null ? new ArrayList<>() : outliers;
                outliers.add(new Outlier(t, cost));
            } else if (cost < bestCost) {
                best = t;
                bestCost = cost;
            }
        }
        if (best == null && outliers == null) {
            return Optional.ofNullable(bestAwaited);
        }
        return outliers == null ? Optional.of(best) : Optional.of(bestOf(best, bestCost, outliers));
    }

    /** An available target that fails too often, with the cost of a call there before the penalty. */
    private record Outlier(TargetState target, double costMs) {}

    /** Returns the better of the best other target, null for none, and the outliers, the worst of them penalized. */
    private TargetState bestOf(TargetState other, double otherCostMs, List<Outlier> outliers) {
        outliers.sort(Comparator.comparingDouble((Outlier o) -> o.target().failureRate())
                .reversed());
        int penaltiesLeft = (int) (ownTargets.size() * MAX_PENALIZED_FRACTION);
        TargetState best = other;
        double bestCost = otherCostMs;
        for (Outlier o : outliers) {
            double cost = o.costMs() + (penaltiesLeft-- > 0 ? OUTLIER_PENALTY_MS : 0);
            if (best == null || cost < bestCost) {
                best = o.target();
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns a target with a version on trial and a free slot that this router may take. The few trial calls are
     * concentrated on few targets, so that they meet some load: the least busy of the first ones, then the others.
     */
    Optional<TargetState> bestOnTrial(Call call, Predicate<TargetState> mayTake, long nowMs) {
        TargetState best = null;
        for (int i = 0; i < ownTrialTargets.size() && (i < trialTargetsUsed || best == null); i++) {
            TargetState t = ownTrialTargets.get(i);
            if ((best == null || t.calls() < best.calls())
                    && t.takesTrialCalls()
                    && t.hasRoom(nowMs)
                    && !call.avoid().contains(t.incarnation())
                    && mayTake.test(t)) {
                best = t;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the fastest target of this router's group with a free slot that this router may take. */
    Optional<TargetState> fastest(Predicate<TargetState> mayTake, long nowMs) {
        TargetState fastest = null;
        for (TargetState t : ownTargets) {
            if ((fastest == null || t.gapMs() < fastest.gapMs()) && t.isAvailable(nowMs) && mayTake.test(t)) {
                fastest = t;
            }
        }
        return Optional.ofNullable(fastest);
    }

    private double cost(Call call, TargetState t) {
        if (!settings.uses(Mechanism.LEARNED_PACE)) {
            return t.calls();
        }
        double ms = t.lastByteMs(call);
        boolean sameDataCentre = t.info().dataCentre().equals(dataCentre);
        return sameDataCentre ? ms : ms * (1 + REMOTE_COST_FACTOR) + REMOTE_COST_MS;
    }

    private static boolean isOutlier(TargetState t, double meanFailures) {
        return t.failureRate() > OUTLIER_RATE && t.failureRate() > meanFailures * OUTLIER_FACTOR;
    }

    private double meanFailureRate() {
        double sum = 0;
        for (TargetState t : ownTargets) {
            sum += t.failureRate();
        }
        return ownTargets.isEmpty() ? 0 : sum / ownTargets.size();
    }

    boolean anyAvailable(long nowMs) {
        for (TargetState t : usableTargets(nowMs)) {
            if (t.isAvailable(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the first byte of a call would be on time if it were sent now. */
    boolean canBeOnTime(Call call, long nowMs) {
        return canBeOnTimeAfter(call, 0, nowMs);
    }

    /** Whether the first byte of a call would be on time if it were sent after a wait. A repeat counts as late. */
    boolean canBeOnTimeAfter(Call call, long waitMs, long nowMs) {
        if (call.isRepeat()) {
            return false;
        }
        double factor = settings.uses(Mechanism.PLANNED_RETURNS) ? margin.factor() : 1;
        for (TargetState t : usableTargets(call, nowMs)) {
            if (t.takes(call)
                    && !t.health().refusesCalls(nowMs + waitMs)
                    && nowMs + waitMs + factor * t.firstByteMs(call) <= call.firstByteDeadlineMs()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether any target suits a call and meets a further condition. Targets with a rate limit, or that refuse calls
     * for now, do not count: calls do not wait for a target that accepts only a few per second, or none.
     */
    private boolean anySuits(Call call, long nowMs, Predicate<TargetState> condition) {
        for (TargetState t : call.version().isEmpty() ? ownTargets : targetsThatContinue(call, nowMs)) {
            if (t.takes(call)
                    && t.limit().isEmpty()
                    && !t.health().refusesCalls(nowMs)
                    && t.suits(call, nowMs)
                    && condition.test(t)) {
                return true;
            }
        }
        return false;
    }

    private static boolean mayKeepGaps(TargetState target, Call call, long nowMs) {
        return target.keepsGapsAlone(call)
                && !call.avoid().contains(target.incarnation())
                && !target.health().paused(nowMs);
    }

    /** Whether a call may be sent to only some of this group's targets. */
    boolean restrictsTargets(Call call, long nowMs) {
        if (call.version().isPresent()) {
            return true;
        }
        for (TargetState t : ownTargets) {
            if (t.takesCalls()
                    && (call.avoid().contains(t.incarnation())
                            || !t.suits(call, nowMs)
                            || settings.uses(Mechanism.PROMPT_SPREADING) && !t.keepsGaps(call))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Rate at which slots of this group's targets are freed and can be reused while all are in use.
     *
     * @param holdTimeMs how long a call holds its slot
     */
    double turnoverPerSecond(double holdTimeMs, long nowMs) {
        double perSlot = MS_PER_SECOND / holdTimeMs;
        double sum = 0;
        for (TargetState t : ownTargets) {
            boolean accepts = t.takesCalls() && !t.health().refusesCalls(nowMs);
            double ofSlots = accepts ? t.info().slots() * perSlot : 0;
            sum += t.limit().map(l -> Math.min(l.perSecond(), ofSlots)).orElse(ofSlots);
        }
        return Math.max(perSlot, sum);
    }

    /**
     * Time until one of this group's targets accepts calls; 0 if one does now, or if all are unavailable for other
     * reasons than their refusals.
     */
    long refusedForMs(long nowMs) {
        return refusedForMs(ownTargets.stream().filter(TargetState::takesCalls), nowMs);
    }

    /** Like {@link #refusedForMs(long)}, for the targets that a call can use. */
    long refusedForMs(Call call, long nowMs) {
        return call.version().isEmpty()
                ? refusedForMs(nowMs)
                : refusedForMs(targetsThatContinue(call, nowMs).stream(), nowMs);
    }

    private static long refusedForMs(Stream<TargetState> some, long nowMs) {
        return some.mapToLong(t -> Math.max(0, t.health().refusesUntilMs() - nowMs))
                .min()
                .orElse(0);
    }
}
