package org.onyxhinge.tools.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.onyxhinge.core.engine.EngineSpec;
import org.onyxhinge.core.place.Target;

/** Simulates one run of a site with a policy and a load pattern. The same seed gives the same requests. */
final class FleetSimulation {

    /** How often a router checks whether an update to a peer is due. */
    private static final double PEER_CHECK_INTERVAL_MS = 4;

    private static final double MS_PER_SECOND = 1_000;

    private static final double PERCENT = 100;

    /** Number of route ranks; a workspace's rank takes precedence over the route's, as in the router. */
    private static final int ROUTE_RANKS = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final FleetSpec spec;
    private final FleetPolicy policy;
    private final LoadPattern pattern;
    private final SplittableRandom random;
    private final List<SimEngine> engines = new ArrayList<>();
    private final List<SimRouter> routers = new ArrayList<>();
    private final List<KindTally> tallies = new ArrayList<>();

    private FleetSimulation(FleetSpec spec, FleetPolicy policy, LoadPattern pattern, long seed) {
        this.spec = spec;
        this.policy = policy;
        this.pattern = pattern;
        this.random = new SplittableRandom(seed);
    }

    static FleetResult simulate(FleetSpec spec, FleetPolicy policy, LoadPattern pattern, long seed) {
        FleetSimulation simulation = new FleetSimulation(spec, policy, pattern, seed);
        simulation.createEngines();
        simulation.createRouters();
        simulation.spec.kinds().forEach(simulation::scheduleRequests);
        simulation.scheduleEngineLoss();
        simulation.scheduleRateLimits();
        double longestDeadlineMs =
                spec.kinds().stream().mapToDouble(RequestKind::deadlineMs).max().orElse(0);
        simulation.time.runUntil(LoadPattern.DURATION_MS + longestDeadlineMs);
        double maxLoadPerSlot = simulation.engines.stream()
                .mapToDouble(e -> (double) e.maxConcurrent() / e.target().slots())
                .max()
                .orElse(0);
        return new FleetResult(
                policy.label(), pattern, seed, simulation.tallies, maxLoadPerSlot, simulation.limitUsage());
    }

    private String dataCentre(int i) {
        return "dc-" + i % spec.dataCentres();
    }

    private void createEngines() {
        for (int i = 0; i < spec.engines(); i++) {
            EngineSpec engine = spec.engineAt(i);
            Target target = new Target(
                    "e" + i, 0, PlacementRouter.SERVICE, "", "10.0.0." + i, 1, dataCentre(i), engine.slots(), true, 0);
            engines.add(new SimEngine(time, target, engine));
        }
    }

    private void createRouters() {
        for (int i = 0; i < spec.routers(); i++) {
            routers.add(
                    switch (policy) {
                        case FleetPolicy.PlacementPolicy p ->
                            new PlacementRouter(time, "r" + i, dataCentre(i), p.settings(), engines, this::reserveSlot);
                        case FleetPolicy.RoundRobin r -> new BaselineRouter(time, engines, false, i);
                        case FleetPolicy.LeastOutstanding l -> new BaselineRouter(time, engines, true, i);
                    });
        }
        if (policy instanceof FleetPolicy.PlacementPolicy p && p.peerUpdates()) {
            List<PlacementRouter> all =
                    routers.stream().map(PlacementRouter.class::cast).toList();
            for (int i = 0; i < all.size(); i++) {
                PlacementRouter from = all.get(i);
                for (int j = 0; j < all.size(); j++) {
                    if (j != i) {
                        from.placement().routerSeen(all.get(j).id(), dataCentre(j));
                    }
                }
                from.setRateLimitListener((incarnation, limit, atMs) -> all.stream()
                        .filter(to -> to != from)
                        .forEach(to -> time.after(
                                PeerUpdateSender.DELAY_MS, () -> to.recordRateLimit(incarnation, limit, atMs))));
                PeerUpdateSender sender = new PeerUpdateSender(time, from, all);
                time.every(PEER_CHECK_INTERVAL_MS * i / routers.size(), PEER_CHECK_INTERVAL_MS, sender::sendDue);
            }
        }
    }

    private void reserveSlot(String routerId, String targetId) {
        for (SimRouter r : routers) {
            if (r instanceof PlacementRouter to && to.id().equals(routerId)) {
                time.after(PeerUpdateSender.DELAY_MS, () -> to.slotReserved(targetId));
            }
        }
    }

    /** Schedules the requests of a kind, an independent Poisson process for each workspace. */
    private void scheduleRequests(RequestKind kind) {
        KindTally tally = new KindTally(kind, spec.sizes());
        tallies.add(tally);
        double totalShares =
                spec.workspaces().stream().mapToDouble(WorkspaceShare::share).sum();
        WorkspaceShare lastWorkspace = spec.workspaces().getLast();
        for (WorkspaceShare workspace : spec.workspaces()) {
            SplittableRandom workspaceRandom = random.split();
            scheduleNext(
                    tally,
                    workspace,
                    kind.perSecond() * workspace.share() / totalShares,
                    workspace == lastWorkspace,
                    workspaceRandom);
        }
    }

    private void scheduleNext(
            KindTally tally,
            WorkspaceShare workspace,
            double perSecond,
            boolean lastWorkspace,
            SplittableRandom workspaceRandom) {
        double currentPerSecond = perSecond * pattern.factor(time.nowMs(), lastWorkspace);
        time.after(workspaceRandom.nextExponential() * MS_PER_SECOND / currentPerSecond, () -> {
            if (time.nowMs() < LoadPattern.DURATION_MS) {
                startCaller(tally, workspace, workspaceRandom);
                scheduleNext(tally, workspace, perSecond, lastWorkspace, workspaceRandom);
            }
        });
    }

    private void startCaller(KindTally tally, WorkspaceShare workspace, SplittableRandom workspaceRandom) {
        RequestKind kind = tally.kind();
        int prompt = spec.sizes().samplePrompt(kind.promptTokens(), workspaceRandom);
        int output = spec.sizes().sampleOutput(kind.outputTokens(), workspaceRandom);
        SplittableRandom routing = workspaceRandom.split();
        int expected = spec.sizes().sampleEstimate(output, workspaceRandom.split());
        SimCaller.start(
                time,
                tally,
                workspace.rank() * ROUTE_RANKS + kind.rank(),
                prompt,
                output,
                expected,
                1 - routing.nextDouble() * spec.deadlineSpreadPercent() / PERCENT,
                new RouterChoice(routing));
    }

    /** The routers that one caller's attempts reach. */
    private final class RouterChoice implements Supplier<SimRouter> {

        private final SplittableRandom routing;
        private boolean retry;

        RouterChoice(SplittableRandom routing) {
            this.routing = routing;
        }

        @Override
        public SimRouter get() {
            double fraction = retry ? 0 : pattern.concentratedFraction(time.nowMs());
            retry = true;
            boolean concentrated = fraction > 0 && routing.nextDouble() < fraction;
            return routers.get(
                    concentrated
                            ? pattern.concentratedRouter(time.nowMs(), spec.dataCentres(), routing)
                            : routing.nextInt(routers.size()));
        }
    }

    private void scheduleEngineLoss() {
        int lostEngines = (int) Math.round(engines.size() * pattern.lostFraction());
        time.after(
                LoadPattern.FAULT_START_MS,
                () -> engines.subList(0, lostEngines).forEach(SimEngine::crash));
        time.after(
                LoadPattern.LOSS_END_MS, () -> engines.subList(0, lostEngines).forEach(SimEngine::recover));
    }

    private List<SimEngine> limitedEngines() {
        return engines.subList(0, (int) Math.round(engines.size() * pattern.limitedFraction()));
    }

    private void scheduleRateLimits() {
        OptionalDouble limit = OptionalDouble.of(LoadPattern.LIMIT_PER_SECOND);
        time.after(LoadPattern.FAULT_START_MS, () -> limitedEngines().forEach(e -> e.advertiseLimit(limit)));
        time.after(
                LoadPattern.LIMIT_END_MS,
                () -> limitedEngines().forEach(e -> e.advertiseLimit(OptionalDouble.empty())));
    }

    /** Returns the requests received by rate-limited engines after the limit has propagated to all routers. */
    private List<LimitUsage> limitUsage() {
        double fromMs = LoadPattern.FAULT_START_MS + LimitUsage.PROPAGATION_MS;
        double untilMs = LoadPattern.LIMIT_END_MS;
        return limitedEngines().stream()
                .map(e -> new LimitUsage(
                        e.maxArrivalsInWindow(LimitUsage.WINDOW_MS, fromMs, untilMs),
                        e.arrivalsBetween(fromMs, untilMs)))
                .toList();
    }
}
