package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.onyxhinge.core.model.RequestSpec;

/**
 * Decides, for one router, which engine serves each request, which requests wait, and which are refused or stopped.
 * Engines have no notion of priority, so the router queues work beyond each engine's batch size and orders it by tier
 * itself.
 *
 * <p>Rules, in order: a request of a workspace at its limit is refused, unless the workspace has work of a lower tier
 * that can be displaced; a request goes to the engine with a free slot and the earliest estimated first token; when all
 * engines are full, it is queued if its tier's budget allows; otherwise running requests of a lower tier are preempted,
 * either this router's own or, through the engine's agent, another router's; otherwise it is refused at once with a
 * retry time. Queued requests that can no longer meet their budget are refused as soon as that is known. Running
 * requests past their tier's deadline are stopped.
 *
 * <p>A request is dispatched at most once, with one exception: an adapter that could not send a single byte of it calls
 * {@link #unsent}, and the request is offered to another engine.
 *
 * <p>Not thread-safe: confined to one thread. Every method takes the time, in milliseconds of a monotonic clock, and
 * returns the actions to carry out.
 */
public final class Scheduler {

    private static final long NO_TARGET_RETRY_MS = 5_000;
    private static final int REMOVE_AFTER_SILENT_INTERVALS = 20;

    private final SchedulerSettings settings;
    private final EngineTable engines = new EngineTable();
    private final TierQueues queues = new TierQueues();
    private final RequestTracker tracker = new RequestTracker(engines);
    private final ServiceTimes serviceTimes = ServiceTimes.create();
    private final PendingPreemptions pendingPreemptions = new PendingPreemptions();
    private int lowestRank = Integer.MAX_VALUE;
    private long roundRobinNext;

    private Scheduler(SchedulerSettings settings) {
        this.settings = settings;
    }

    /** Creates a scheduler with no engines. */
    public static Scheduler create(SchedulerSettings settings) {
        return new Scheduler(settings);
    }

    /** Sets the rank of the lowest configured tier, whose requests never ask other routers to preempt. */
    public void lowestRank(int rank) {
        lowestRank = rank;
    }

    /** Adds an engine, or updates it when its agent joins again. */
    public List<Action> engineJoined(EngineInfo info, long nowMs) {
        EngineState old = engines.get(info.engineId());
        if (old == null || !old.info().equals(info)) {
            EngineState engine = new EngineState(info, settings.recentPrefixes(), nowMs);
            if (old != null) {
                old.running().forEach(engine::add);
            }
            engines.put(engine);
        }
        return dispatchQueued(info.pool(), nowMs);
    }

    /** Applies a load report, which may be stale; a draining report stops new work to the engine. */
    public List<Action> engineReported(LoadReport report, long nowMs) {
        EngineState engine = engines.get(report.engineId());
        if (engine == null) {
            return List.of();
        }
        engine.applyReport(report, nowMs);
        return dispatchQueued(engine.info().pool(), nowMs);
    }

    /** Marks an engine as draining: it gets no new work, and its running requests finish. */
    public void engineDraining(String engineId) {
        EngineState engine = engines.get(engineId);
        if (engine != null) {
            engine.drain();
        }
    }

    /**
     * Admits, queues or refuses a new request. A workspace at its limit displaces its own least important request,
     * never a more important one.
     */
    public List<Action> submit(RequestSpec spec, int workspaceLimit, long nowMs) {
        int before = tracker.inFlight(spec.workspace());
        if (before >= workspaceLimit && !hasLowerTierWork(spec)) {
            return List.of(refuse(spec, RefusalReason.WORKSPACE_LIMIT, "workspace at its limit", retryAfterMs(spec)));
        }
        List<Action> out = new ArrayList<>(place(spec, nowMs));
        if (tracker.inFlight(spec.workspace()) > Math.max(before, workspaceLimit)) {
            out.add(displaceLowerTier(spec));
        }
        Invariants.check(
                tracker.inFlight(spec.workspace()) <= Math.max(before, workspaceLimit),
                "workspace within its limit",
                spec.workspace());
        return out;
    }

    /** True when the workspace has a request that may be displaced by this one; the baseline policies ignore tiers. */
    private boolean hasLowerTierWork(RequestSpec spec) {
        return settings.policy() instanceof RoutingPolicy.EarliestFirstToken
                && (queues.leastImportant(spec).isPresent()
                        || tracker.leastImportantRunning(spec).isPresent());
    }

    /** Displaces the workspace's least important request; within a tier, a queued one before a running one. */
    private Action displaceLowerTier(RequestSpec spec) {
        String detail = "workspace at its limit; gave way to a higher tier";
        RequestSpec queued = queues.leastImportant(spec).orElse(null);
        RunningRequest running = tracker.leastImportantRunning(spec).orElse(null);
        if (running == null || queued != null && queued.tier().rank() >= running.rank()) {
            queues.remove(queued.requestId());
            tracker.removeInFlight(queued);
            return refuse(queued, RefusalReason.WORKSPACE_LIMIT, detail, retryAfterMs(queued));
        }
        EngineState engine = engines.get(running.engineId());
        return stop(engine, running, RefusalReason.PREEMPTED, detail, retryAfterMs(running.spec()));
    }

    private List<Action> place(RequestSpec spec, long nowMs) {
        List<EngineState> live = engines.usable(spec.pool(), nowMs, settings.engineSilentMs());
        if (live.isEmpty()) {
            return List.of(refuse(spec, RefusalReason.NO_TARGET, "no live target serves the pool", NO_TARGET_RETRY_MS));
        }
        return switch (settings.policy()) {
            case RoutingPolicy.EarliestFirstToken p -> admit(spec, live, nowMs);
            case RoutingPolicy.LeastOutstanding p -> passThrough(spec, EngineSelection.leastOutstanding(live), nowMs);
            case RoutingPolicy.RoundRobin p ->
                passThrough(spec, live.get((int) (roundRobinNext++ % live.size())), nowMs);
        };
    }

    private List<Action> passThrough(RequestSpec spec, EngineState engine, long nowMs) {
        tracker.addInFlight(spec);
        return List.of(dispatch(spec, engine, nowMs));
    }

    private List<Action> admit(RequestSpec spec, List<EngineState> live, long nowMs) {
        long idleMs = live.stream().mapToLong(s -> s.idleEstimateMs(spec)).min().orElseThrow();
        if (idleMs > spec.tier().firstTokenBudgetMs()) {
            return List.of(
                    refuse(spec, RefusalReason.BUDGET_TOO_SMALL, "too large for the tier's first-token budget", 0));
        }
        Optional<EngineState> free = fastestFree(live, spec);
        if (free.isPresent() && nowMs + free.get().firstTokenEstimateMs(spec) <= spec.firstTokenDueAtMs()) {
            tracker.addInFlight(spec);
            return List.of(dispatch(spec, free.get(), nowMs));
        }
        return queueOrPreempt(spec, live, nowMs);
    }

    /** Records that the request's first token has been received. */
    public void firstToken(String requestId, long nowMs) {
        EngineState engine = tracker.engineOf(requestId);
        if (engine != null) {
            engine.markFirstToken(requestId, nowMs);
        }
    }

    /**
     * Reverts the dispatch of a request of which no byte could be sent. The engine gets no new work until the next
     * report from its agent; the request is offered to another engine, or refused as not run.
     */
    public List<Action> unsent(String requestId, long nowMs) {
        EngineState engine = tracker.engineOf(requestId);
        RunningRequest r = engine == null ? null : engine.remove(requestId);
        if (r == null) {
            return List.of();
        }
        engine.markUnreachable();
        if (tracker.undoDispatch(r) < settings.sendAttempts()) {
            return place(r.spec(), nowMs);
        }
        return List.of(refuse(r.spec(), RefusalReason.TARGET_UNREACHABLE, "no target could be reached; not run", 0));
    }

    /**
     * Removes a request that ended for any reason, in whatever state, and dispatches queued work to the freed slot.
     */
    public List<Action> ended(String requestId, long nowMs) {
        tracker.clearSendAttempts(requestId);
        PendingPreemptions.Pending pending = pendingPreemptions.remove(requestId);
        if (pending != null) {
            tracker.removeInFlight(pending.spec());
            return List.of();
        }
        RequestSpec queued = queues.remove(requestId);
        if (queued != null) {
            tracker.removeInFlight(queued);
            return List.of();
        }
        EngineState engine = tracker.engineOf(requestId);
        RunningRequest r = tracker.end(requestId);
        if (r == null) {
            return List.of();
        }
        serviceTimes.ended(engine, r, nowMs - r.dispatchedAtMs());
        return dispatchQueued(engine.info().pool(), nowMs);
    }

    /**
     * Stops running requests past their deadline, refuses queued ones that can no longer meet their budget, fills free
     * slots, and removes engines that have been silent for long.
     */
    public List<Action> tick(long nowMs) {
        List<Action> out = new ArrayList<>();
        stopOverdue(out, nowMs);
        pendingPreemptions.timedOut(nowMs).forEach(id -> out.addAll(preemptionAnswered(id, false, nowMs)));
        for (String pool : queues.pools()) {
            if (!queues.isEmpty(pool)) {
                out.addAll(expireQueued(pool, nowMs));
                out.addAll(dispatchQueued(pool, nowMs));
            }
        }
        removeSilentEngines(nowMs);
        return out;
    }

    private void stopOverdue(List<Action> out, long nowMs) {
        for (EngineState engine : engines.all()) {
            for (RunningRequest r : List.copyOf(engine.running())) {
                if (nowMs > r.spec().dueAtMs()) {
                    out.add(stop(engine, r, RefusalReason.DEADLINE_EXCEEDED, "stopped at the tier's deadline", 0));
                }
            }
        }
    }

    private void removeSilentEngines(long nowMs) {
        long removeAfterMs = settings.engineSilentMs() * REMOVE_AFTER_SILENT_INTERVALS;
        for (EngineState engine : List.copyOf(engines.all())) {
            if (engine.ownInFlight() == 0 && engine.silentFor(removeAfterMs, nowMs)) {
                engines.remove(engine.id());
            }
        }
    }

    /** A copy of the state, for the state dump. */
    public SchedulerSnapshot snapshot() {
        return SchedulerSnapshot.of(engines, queues, tracker);
    }

    private List<Action> queueOrPreempt(RequestSpec spec, List<EngineState> live, long nowMs) {
        int ahead = queues.sizeUpTo(spec.pool(), spec.tier().rank());
        long waitMs = serviceTimes.queueWaitMs(spec.pool(), live, ahead, nowMs);
        long etaMs = waitMs
                + live.stream().mapToLong(s -> s.idleEstimateMs(spec)).min().orElse(0);
        boolean queueHasSpace = queues.size(spec.pool(), spec.tier().rank()) < settings.queueLimitPerTier();
        if (nowMs + etaMs <= spec.firstTokenDueAtMs() && queueHasSpace) {
            queues.add(spec);
            tracker.addInFlight(spec);
            return List.of();
        }
        RefusalReason reason = queueHasSpace ? RefusalReason.DEADLINE_UNREACHABLE : RefusalReason.QUEUE_FULL;
        return preemptOrRefuse(spec, live, nowMs, reason, waitMs);
    }

    /** Preempts lower-tier work in favour of {@code spec}, or refuses {@code spec} when that would not help. */
    private List<Action> preemptOrRefuse(
            RequestSpec spec, List<EngineState> live, long nowMs, RefusalReason reason, long retryAfterMs) {
        Optional<Preemption.Plan> plan = Preemption.cheapestPlan(live, spec, nowMs);
        if (plan.isPresent()) {
            return preempt(plan.get(), spec, nowMs);
        }
        Optional<EngineState> engineToAsk = spec.tier().rank() >= lowestRank
                ? Optional.empty()
                : EngineSelection.preemptibleByOthers(live, spec, nowMs);
        if (engineToAsk.isPresent()) {
            pendingPreemptions.add(spec, engineToAsk.get().id(), nowMs);
            tracker.addInFlight(spec);
            return List.of(new Action.RequestPreemption(spec, engineToAsk.get().id()));
        }
        Invariants.check(
                !Invariants.enabled() || !Preemption.preemptionCouldHelp(live, spec, nowMs),
                "no higher tier shed while a lower tier is served",
                spec.requestId());
        return List.of(refuse(spec, reason, "every target is busy past the tier's budget", retryAfterMs));
    }

    /**
     * Handles the result of {@link Action.RequestPreemption}: another router preempted a lower-tier request, or
     * none had one, in which case the next engine is asked or the request is refused.
     */
    public List<Action> preemptionAnswered(String requestId, boolean made, long nowMs) {
        PendingPreemptions.Pending pending = pendingPreemptions.remove(requestId);
        if (pending == null) {
            return List.of();
        }
        tracker.removeInFlight(pending.spec());
        EngineState engine = engines.get(pending.engineId());
        if (engine != null && made) {
            engine.otherRouterPreempted();
        } else if (engine != null) {
            engine.noVictimBelow(pending.spec().tier().rank(), nowMs + settings.askAgainMs());
        }
        return place(pending.spec(), nowMs);
    }

    /** Preempts this router's least important request below {@code rank} on an engine, on behalf of another router. */
    public Optional<Action> makeRoom(String engineId, int rank) {
        EngineState engine = engines.get(engineId);
        return engine == null
                ? Optional.empty()
                : Preemption.leastImportantBelow(engine, rank)
                        .map(r -> stop(
                                engine,
                                r,
                                RefusalReason.PREEMPTED,
                                "stopped to serve a higher tier",
                                retryAfterMs(r.spec())));
    }

    private List<Action> preempt(Preemption.Plan plan, RequestSpec spec, long nowMs) {
        List<Action> out = new ArrayList<>();
        for (RunningRequest victim : plan.victims()) {
            out.add(stop(
                    plan.engine(),
                    victim,
                    RefusalReason.PREEMPTED,
                    "stopped to serve a higher tier",
                    retryAfterMs(victim.spec())));
        }
        tracker.addInFlight(spec);
        out.add(dispatch(spec, plan.engine(), nowMs));
        return out;
    }

    private Action stop(EngineState engine, RunningRequest r, RefusalReason reason, String detail, long retryAfterMs) {
        return tracker.stop(engine, r, Refusal.of(reason, detail, retryAfterMs));
    }

    private Action dispatch(RequestSpec spec, EngineState engine, long nowMs) {
        return tracker.dispatch(spec, engine, nowMs);
    }

    private Action refuse(RequestSpec spec, RefusalReason reason, String detail, long retryAfterMs) {
        tracker.clearSendAttempts(spec.requestId());
        return new Action.Refuse(spec, Refusal.of(reason, detail, Math.max(settings.minRetryAfterMs(), retryAfterMs)));
    }

    private List<Action> dispatchQueued(String pool, long nowMs) {
        if (queues.isEmpty(pool)) {
            return List.of();
        }
        List<Action> out = new ArrayList<>();
        List<EngineState> live = engines.usable(pool, nowMs, settings.engineSilentMs());
        for (RequestSpec head : queues.inOrder(pool)) {
            Optional<EngineState> free = fastestFree(live, head);
            if (free.isEmpty()) {
                return out;
            }
            queues.remove(head.requestId());
            tracker.removeInFlight(head);
            if (nowMs + free.get().firstTokenEstimateMs(head) <= head.firstTokenDueAtMs()) {
                tracker.addInFlight(head);
                out.add(dispatch(head, free.get(), nowMs));
            } else {
                out.addAll(preemptOrRefuse(head, live, nowMs, RefusalReason.DEADLINE_UNREACHABLE, retryAfterMs(head)));
            }
        }
        return out;
    }

    private List<Action> expireQueued(String pool, long nowMs) {
        List<Action> out = new ArrayList<>();
        List<EngineState> live = engines.usable(pool, nowMs, settings.engineSilentMs());
        for (RequestSpec spec : queues.inOrder(pool)) {
            long bestMs = live.stream()
                    .mapToLong(s -> s.firstTokenEstimateMs(spec))
                    .min()
                    .orElse(Long.MAX_VALUE / 2);
            if (nowMs + bestMs > spec.firstTokenDueAtMs()) {
                queues.remove(spec.requestId());
                tracker.removeInFlight(spec);
                out.addAll(preemptOrRefuse(spec, live, nowMs, RefusalReason.DEADLINE_UNREACHABLE, retryAfterMs(spec)));
            }
        }
        return out;
    }

    private Optional<EngineState> fastestFree(List<EngineState> live, RequestSpec spec) {
        return EngineSelection.fastestFree(live, spec, settings.headroomPercent());
    }

    private long retryAfterMs(RequestSpec spec) {
        return serviceTimes.meanMs(spec.pool());
    }
}
