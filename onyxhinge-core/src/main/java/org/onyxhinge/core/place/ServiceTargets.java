package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** The targets of one service, and what is lately true of all of them together. */
final class ServiceTargets {

    /** Prompts below this say more of a step's time than of the speed of reading. */
    static final long TELLING_PROMPT_TOKENS = 500;

    /** Where learning starts; a few answers replace each. */
    private static final double FIRST_GAP_MS = 25;

    private static final double FIRST_PREFILL_MS_PER_TOKEN = 0.03;
    private static final double FIRST_PLAIN_MS = 50;

    /** A target is set aside when it fails this much more often than its service does. */
    private static final double OUTLIER_RATE = 0.2;

    private static final double OUTLIER_FACTOR = 2.0;
    /** At most this part of a service is set aside, so an ailing service is never left with nothing. */
    private static final double SET_ASIDE_PART = 0.34;

    /** Makes a target that is set aside the last choice, not no choice. */
    private static final double SET_ASIDE_COST_MS = 1e6;

    /**
     * What the path to another data centre costs against the time of an answer, as a part: bytes between
     * data centres are billed, and a slightly slower answer from near by is worth the same.
     */
    private static final double FAR_COST = 1.0;

    private static final double FAR_COST_MS = 20;

    private static final double MS_PER_SECOND = 1_000;

    private final String name;
    private final String dataCentre;
    private final PlacementSettings settings;
    private final List<TargetState> targets = new ArrayList<>();
    /** Those of the targets whose slots are this router's to take, by its group. */
    private List<TargetState> ours = List.of();
    /** Others of which a slot is reserved for this router, or was until lately. */
    private final Set<TargetState> lent = new LinkedHashSet<>();

    private boolean shared = true;
    private boolean dealt;
    private long dealtAtVersion;
    private final Pace gapMs = Pace.startingAt(FIRST_GAP_MS);
    private final Pace prefillMs = Pace.startingAt(FIRST_PREFILL_MS_PER_TOKEN);
    private final Pace plainMs = Pace.startingAt(FIRST_PLAIN_MS);

    /** Targets of a service, as a router in {@code dataCentre} sees them. */
    ServiceTargets(String name, String dataCentre, PlacementSettings settings) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    String name() {
        return name;
    }

    void add(TargetState target) {
        targets.add(target);
        dealt = false;
    }

    void remove(TargetState target) {
        targets.remove(target);
        lent.remove(target);
        dealt = false;
    }

    /** Deals the targets out to the groups of routers, if anything has changed since that was last done. */
    void dealOut(FleetView fleet) {
        if (dealt && dealtAtVersion == fleet.version()) {
            return;
        }
        dealt = true;
        dealtAtVersion = fleet.version();
        shared = fleet.groups().share(targets.size());
        if (shared) {
            targets.forEach(TargetState::sharedByAll);
        } else {
            Map<String, Integer> groups =
                    fleet.groups().deal(targets.stream().map(TargetState::info).toList());
            targets.forEach(t -> t.dealtTo(groups.get(t.incarnation()), fleet));
        }
        ours = targets.stream()
                .filter(t -> t.owners() != TargetState.Owners.ANOTHER_GROUP)
                .toList();
        lent.removeAll(ours);
        for (TargetState t : targets) {
            t.limit().ifPresent(limit -> limit.givenOutHere(fleet.sharing(t).before(t.incarnation()) == 0));
        }
    }

    /** Has the targets dealt out anew: one of them has another rate limit. */
    void limitChanged() {
        dealt = false;
    }

    /** Whether all routers share all of its targets, none being one group's. */
    boolean shared() {
        return shared;
    }

    /** Notes that a slot of a target is reserved for this router, whosever the target is. */
    void reservedForUs(TargetState target, long untilMs) {
        target.reservedForUs(untilMs);
        if (target.owners() == TargetState.Owners.ANOTHER_GROUP) {
            lent.add(target);
        }
    }

    /** The targets of which this router may take slots: its group's, and those of which one is reserved for it. */
    private List<TargetState> within(long nowMs) {
        if (lent.isEmpty()) {
            return ours;
        }
        lent.removeIf(t -> !t.isReservedForUs(nowMs));
        List<TargetState> out = new ArrayList<>(ours);
        out.addAll(lent);
        return out;
    }

    Pace gapMs() {
        return gapMs;
    }

    Pace prefillMs() {
        return prefillMs;
    }

    Pace plainMs() {
        return plainMs;
    }

    /**
     * The target where a call's answer is expected to end soonest, the way there counted in. To one that it does not
     * suit it goes only if it suits none: an answer that cannot be whole in time holds a slot for long and is cut off.
     *
     * @param mayTake at which of the targets with a free slot this router may take one
     */
    Optional<TargetState> best(Call call, Predicate<TargetState> mayTake, long nowMs) {
        TargetState best = null;
        double bestCost = Double.MAX_VALUE;
        double meanFailures = meanFailureRate();
        int mayBeSetAside = (int) (ours.size() * SET_ASIDE_PART);
        boolean anySuits = settings.uses(Mechanism.SUITABLE_TARGETS) && anySuits(call, nowMs);
        for (TargetState t : within(nowMs)) {
            if (!t.hasRoom(nowMs)
                    || call.avoid().contains(t.incarnation())
                    || anySuits && !t.suits(call, nowMs)
                    || !mayTake.test(t)) {
                continue;
            }
            double cost = t.limit().filter(l -> l.wantsAnswer(nowMs)).isPresent() ? 0 : cost(call, t);
            if (isOutlier(t, meanFailures) && mayBeSetAside-- > 0) {
                cost += SET_ASIDE_COST_MS;
            }
            if (cost < bestCost) {
                best = t;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The fastest target of this router's group with a free slot of ours. */
    Optional<TargetState> fastest(Predicate<TargetState> mayTake, long nowMs) {
        TargetState fastest = null;
        for (TargetState t : ours) {
            if ((fastest == null || t.gapMs() < fastest.gapMs()) && t.hasRoom(nowMs) && mayTake.test(t)) {
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
        boolean near = t.info().dataCentre().equals(dataCentre);
        return near ? ms : ms * (1 + FAR_COST) + FAR_COST_MS;
    }

    private static boolean isOutlier(TargetState t, double meanFailures) {
        return t.failureRate() > OUTLIER_RATE && t.failureRate() > meanFailures * OUTLIER_FACTOR;
    }

    private double meanFailureRate() {
        double sum = 0;
        for (TargetState t : ours) {
            sum += t.failureRate();
        }
        return ours.isEmpty() ? 0 : sum / ours.size();
    }

    boolean anyRoom(long nowMs) {
        for (TargetState t : within(nowMs)) {
            if (t.hasRoom(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** True when the first byte of a call would be on time if it were sent now. */
    boolean canBeOnTime(Call call, long nowMs) {
        for (TargetState t : within(nowMs)) {
            if (t.takesCalls() && nowMs + t.firstByteMs(call) <= call.onTimeUntilMs()) {
                return true;
            }
        }
        return false;
    }

    /** Whether a call suits any target; none waits for one that takes only a few calls a second. */
    private boolean anySuits(Call call, long nowMs) {
        for (TargetState t : ours) {
            if (t.takesCalls() && t.limit().isEmpty() && t.suits(call, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** True when a call may go to some of our targets and not to others. */
    boolean isChoosy(Call call, long nowMs) {
        for (TargetState t : ours) {
            if (t.takesCalls() && (call.avoid().contains(t.incarnation()) || !t.suits(call, nowMs))) {
                return true;
            }
        }
        return false;
    }

    /**
     * How often a slot of our targets falls free, to be used again, while all are taken.
     *
     * @param heldMs how long a call holds its slot
     */
    double turnoverPerSecond(double heldMs) {
        double perSlot = MS_PER_SECOND / heldMs;
        double sum = 0;
        for (TargetState t : ours) {
            double ofSlots = t.takesCalls() ? t.info().slots() * perSlot : 0;
            sum += t.limit().map(l -> Math.min(l.perSecond(), ofSlots)).orElse(ofSlots);
        }
        return Math.max(perSlot, sum);
    }

    boolean anyTakesCalls() {
        return targets.stream().anyMatch(TargetState::takesCalls);
    }
}
