package org.onyxhinge.core.rollout;

import java.util.Map;
import java.util.Optional;

/**
 * One rollout as seen by one router: which calls may go to the version on trial, what the answers of all routers say
 * about it, and which step is due. During the trial few calls go to the new version. The trial lasts until the time
 * that calls on the earlier versions need to end; then all new calls go to the new version. The rollout is completed
 * when no call is left on the earlier versions.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class Rollout {

    /** Part of the duration that is kept for calls on the earlier versions to end, if these may last longer. */
    private static final double MAX_DRAIN_FRACTION = 0.45;

    /** The outcome is decided this long before the deadline, so that it is recorded and read in time. */
    private static final long DEADLINE_MARGIN_MS = 1_500;

    /** Largest part of the duration that the margin may take. */
    private static final double MAX_MARGIN_FRACTION = 0.2;

    /** Calls on the earlier versions that can begin again move to the new one this long before the deadline. */
    private static final long MOVE_CALLS_BEFORE_DEADLINE_MS = 3_000;

    /** If the leading router does not take a step that is due, another one does after this time. */
    private static final long LEADER_TIMEOUT_MS = 1_500;

    /**
     * Registrations of the versions in use can lapse with an outage of the registry. Only after this time without any
     * is the ordered version taken for the only one.
     */
    private static final long ONLY_VERSION_AFTER_MS = 3_000;

    /** The new version must have at least this fraction of the slots of the versions that it replaces. */
    private static final double MIN_CAPACITY_FRACTION = 0.5;

    /** Part of the exposure allowance that may be needed if a version is promoted although few calls tested it. */
    private static final double UNTESTED_ALLOWANCE_FRACTION = 0.8;

    private final RolloutLimits limits;
    private final ExposureLimit exposure;
    private final AnswerCounts counts = new AnswerCounts();
    private final TrialTest test = new TrialTest();
    private RolloutOrder order;
    private RolloutPhase phase = RolloutPhase.TRIAL;
    private long startedAtMs;
    private long promotedAtMs;
    private long otherVersionsSeenAtMs;
    private Optional<RolloutStep> pendingStep = Optional.empty();
    private long pendingSinceMs;

    private Rollout(RolloutOrder order, RolloutLimits limits, ExposureLimit exposure, long startedAtMs) {
        this.order = order;
        this.limits = limits;
        this.exposure = exposure;
        this.startedAtMs = startedAtMs;
        this.otherVersionsSeenAtMs = startedAtMs;
    }

    /**
     * Starts following a rollout.
     *
     * @param startedAtMs when the order was given
     * @param routersAtOrder number of routers if this one was running when the order was given; 0 if it has started
     *     since, in which case it takes nothing of the exposure allowance
     */
    public static Rollout start(RolloutOrder order, RolloutLimits limits, int routersAtOrder, long startedAtMs) {
        return new Rollout(order, limits, ExposureLimit.of(limits, routersAtOrder), startedAtMs);
    }

    /** The order. */
    public RolloutOrder order() {
        return order;
    }

    /** Continues under an order that repeats the present one; the deadline stays. */
    public void renew(RolloutOrder repeated) {
        order = new RolloutOrder(order.service(), order.version(), order.durationMs(), repeated.id());
    }

    /** The current phase. */
    public RolloutPhase phase() {
        return phase;
    }

    /** Time since the order was given. */
    public long ageMs(long nowMs) {
        return nowMs - startedAtMs;
    }

    /** Corrects the time of the order to that of a router which has known it for longer. */
    public void knownFor(long ageMs, long nowMs) {
        startedAtMs = Math.min(startedAtMs, nowMs - Math.min(ageMs, order.durationMs()));
    }

    /** Moves to a later phase; returns whether it differs from the current one and can be reached from it. */
    public boolean advance(RolloutPhase to, long nowMs) {
        if (!to.isReachableFrom(phase)) {
            return false;
        }
        phase = to;
        promotedAtMs = nowMs;
        pendingStep = Optional.empty();
        return true;
    }

    /** Sets the phase to a recorded one, which is final. */
    public void settle(RolloutPhase recorded) {
        phase = recorded;
        pendingStep = Optional.empty();
    }

    /** Time since the promotion; 0 in any other phase. */
    public long promotedForMs(long nowMs) {
        return phase == RolloutPhase.PROMOTING ? nowMs - promotedAtMs : 0;
    }

    /**
     * Whether a call on a route may go to the version on trial now. Some of the exposure is kept for calls that would
     * delay the end of the rollout.
     *
     * @param expectedMs how long the call is expected to last; 0 if another version could run it again
     */
    public boolean permitsTrial(String route, double expectedMs, long nowMs) {
        boolean outlasts = expectedMs > remainingMs(nowMs) - marginMs();
        return phase == RolloutPhase.TRIAL && (exposure.permits(route) || outlasts && exposure.permitsLongCall());
    }

    /** Records the first send of a call to the service, to any version. */
    public void callSent(String route) {
        exposure.callSent(route);
    }

    /** Records that a call goes to the version on trial. */
    public void exposed(String route) {
        exposure.exposed(route);
    }

    /** Records an answer that this router received. */
    public void answered(AnswerCell cell, boolean bad) {
        counts.add(cell, bad);
    }

    /** The answers counted by this router. */
    public Map<AnswerCell, AnswerCount> ownCounts() {
        return counts.own();
    }

    /**
     * Applies the answers counted by another router.
     *
     * @param source identifies the start of the router
     */
    public void peerCounts(String source, Map<AnswerCell, AnswerCount> byCell) {
        counts.report(source, byCell);
    }

    /** Answers of the version on trial, or else of the versions in use, as far as reported to this router. */
    public AnswerCount answers(boolean trial) {
        return counts.sum(cell -> cell.trial() == trial);
    }

    /** Calls that this router sent to the version on trial. */
    public long exposedCalls() {
        return exposure.exposedCalls();
    }

    /** Calls that this router sent to the service during the rollout. */
    public long calls() {
        return exposure.calls();
    }

    /** Whether calls on the earlier versions that can begin again should move now, because little time is left. */
    public boolean movesCalls(long nowMs) {
        return phase == RolloutPhase.PROMOTING
                && remainingMs(nowMs) < Math.min(MOVE_CALLS_BEFORE_DEADLINE_MS, order.durationMs() / 4);
    }

    private long remainingMs(long nowMs) {
        return order.durationMs() - ageMs(nowMs);
    }

    /**
     * Returns the step that this router should take now.
     *
     * @param longestCallMs longest time that a call of the service may take
     */
    public Optional<RolloutDecision> decide(RolloutFleet fleet, long longestCallMs, long nowMs) {
        if (phase.isFinal()) {
            return Optional.empty();
        }
        test.update(counts.totals(), phase == RolloutPhase.PROMOTING, nowMs);
        if (fleet.seesFleet() && test.rejects(fleet.newTargets())) {
            return Optional.of(new RolloutDecision(RolloutStep.ROLL_BACK, "answers"));
        }
        if (fleet.servingSlots() > 0) {
            otherVersionsSeenAtMs = nowMs;
        }
        return (phase == RolloutPhase.TRIAL ? stepFromTrial(fleet, longestCallMs, nowMs) : completion(fleet))
                .filter(d -> mayTake(d.step(), fleet.leads(), nowMs));
    }

    private boolean mayTake(RolloutStep step, boolean leads, long nowMs) {
        if (!pendingStep.equals(Optional.of(step))) {
            pendingStep = Optional.of(step);
            pendingSinceMs = nowMs;
        }
        return leads || nowMs - pendingSinceMs > LEADER_TIMEOUT_MS;
    }

    private static Optional<RolloutDecision> completion(RolloutFleet fleet) {
        return fleet.drained()
                ? Optional.of(new RolloutDecision(RolloutStep.COMPLETE, "earlier versions drained"))
                : Optional.empty();
    }

    private Optional<RolloutDecision> stepFromTrial(RolloutFleet fleet, long longestCallMs, long nowMs) {
        if (fleet.trialSlots() > 0 && nowMs - otherVersionsSeenAtMs > ONLY_VERSION_AFTER_MS) {
            return Optional.of(new RolloutDecision(RolloutStep.COMPLETE, "no other version"));
        }
        boolean enoughCapacity = fleet.trialSlots() >= MIN_CAPACITY_FRACTION * fleet.servingSlots();
        if (remainingMs(nowMs) <= drainMs(longestCallMs)
                && fleet.trialSlots() > 0
                && enoughCapacity
                && (test.clears() || isHarmlessUntested(nowMs))) {
            return Optional.of(new RolloutDecision(RolloutStep.PROMOTE, test.clears() ? "answers" : "few calls"));
        }
        if (remainingMs(nowMs) <= marginMs()) {
            return Optional.of(new RolloutDecision(
                    RolloutStep.ROLL_BACK, enoughCapacity ? "not proved in time" : "too few targets in time"));
        }
        return Optional.empty();
    }

    /** Time kept at the end of the rollout for calls on the earlier versions to end. */
    private long drainMs(long longestCallMs) {
        return Math.max(2 * marginMs(), Math.min(longestCallMs, (long) (order.durationMs() * MAX_DRAIN_FRACTION)));
    }

    private long marginMs() {
        return Math.min(DEADLINE_MARGIN_MS, (long) (order.durationMs() * MAX_MARGIN_FRACTION));
    }

    /** Whether so few calls come that promoting an untested version would stay within the operators' limits. */
    private boolean isHarmlessUntested(long nowMs) {
        if (test.isSuspect()) {
            return false;
        }
        long trial = answers(true).answers();
        long all = trial + answers(false).answers();
        double expected = (double) all * remainingMs(nowMs) / Math.max(1, ageMs(nowMs));
        return trial + expected
                <= limits.exposureShare() * (all + expected) + UNTESTED_ALLOWANCE_FRACTION * limits.exposureAllowance();
    }
}
