package org.onyxhinge.tools.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import org.onyxhinge.core.engine.EngineSpec;
import org.onyxhinge.core.place.Target;

/** Plays one run of a site: a policy under a pattern of load. The same seed asks for the same requests. */
final class FleetSimulation {

    /** How often a router looks whether its peers are due a message. */
    private static final double PEERS_CHECK_MS = 4;

    private static final double MS_PER_SECOND = 1_000;

    private static final double PERCENT = 100;

    /** Workspaces' ranks go before routes' ranks, as in the router. */
    private static final int RANKS_OF_ROUTES = 1_000;

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

    /** Plays a run. */
    static FleetResult play(FleetSpec spec, FleetPolicy policy, LoadPattern pattern, long seed) {
        FleetSimulation s = new FleetSimulation(spec, policy, pattern, seed);
        s.makeEngines();
        s.makeRouters();
        s.spec.kinds().forEach(s::askFor);
        s.loseEngines();
        s.limitEngines();
        double longest =
                spec.kinds().stream().mapToDouble(RequestKind::deadlineMs).max().orElse(0);
        s.time.runUntil(LoadPattern.LENGTH_MS + longest);
        double most = s.engines.stream()
                .mapToDouble(e -> (double) e.mostAtOnce() / e.target().slots())
                .max()
                .orElse(0);
        return new FleetResult(policy.label(), pattern, seed, s.tallies, most, s.limitsUsed());
    }

    private String dataCentre(int i) {
        return "dc-" + i % spec.dataCentres();
    }

    private void makeEngines() {
        for (int i = 0; i < spec.engines(); i++) {
            EngineSpec engine = spec.engineAt(i);
            Target target = new Target(
                    "e" + i, 0, ProductRouter.SERVICE, "10.0.0." + i, 1, dataCentre(i), engine.slots(), true, 0);
            engines.add(new SimEngine(time, target, engine));
        }
    }

    private void makeRouters() {
        for (int i = 0; i < spec.routers(); i++) {
            routers.add(
                    switch (policy) {
                        case FleetPolicy.Product p ->
                            new ProductRouter(time, "r" + i, dataCentre(i), p.settings(), engines, this::reserveSlot);
                        case FleetPolicy.RoundRobin r -> new BaselineRouter(time, engines, false, i);
                        case FleetPolicy.LeastOutstanding l -> new BaselineRouter(time, engines, true, i);
                    });
        }
        if (policy instanceof FleetPolicy.Product p && p.peers()) {
            List<ProductRouter> all =
                    routers.stream().map(ProductRouter.class::cast).toList();
            for (int i = 0; i < all.size(); i++) {
                ProductRouter from = all.get(i);
                for (int j = 0; j < all.size(); j++) {
                    if (j != i) {
                        from.placement().routerSeen(all.get(j).id(), dataCentre(j));
                    }
                }
                from.tellLimits((incarnation, limit, atMs) -> all.stream()
                        .filter(to -> to != from)
                        .forEach(to -> time.after(PeerTalk.DELAY_MS, () -> to.limitHeard(incarnation, limit, atMs))));
                PeerTalk talk = new PeerTalk(time, from, all);
                time.every(PEERS_CHECK_MS * i / routers.size(), PEERS_CHECK_MS, talk::beat);
            }
        }
    }

    private void reserveSlot(String routerId, String targetId) {
        for (SimRouter r : routers) {
            if (r instanceof ProductRouter to && to.id().equals(routerId)) {
                time.after(PeerTalk.DELAY_MS, () -> to.slotReserved(targetId));
            }
        }
    }

    /** Requests of a kind come at random (a Poisson process), from each workspace on its own. */
    private void askFor(RequestKind kind) {
        KindTally tally = new KindTally(kind, spec.sizes());
        tallies.add(tally);
        double shares =
                spec.workspaces().stream().mapToDouble(WorkspaceShare::share).sum();
        WorkspaceShare last = spec.workspaces().getLast();
        for (WorkspaceShare w : spec.workspaces()) {
            SplittableRandom own = random.split();
            next(tally, w, kind.perSecond() * w.share() / shares, w == last, own);
        }
    }

    private void next(KindTally tally, WorkspaceShare w, double perSecond, boolean last, SplittableRandom own) {
        double rate = perSecond * pattern.factor(time.nowMs(), last);
        time.after(own.nextExponential() * MS_PER_SECOND / rate, () -> {
            if (time.nowMs() < LoadPattern.LENGTH_MS) {
                ask(tally, w, own);
                next(tally, w, perSecond, last, own);
            }
        });
    }

    private void ask(KindTally tally, WorkspaceShare w, SplittableRandom own) {
        RequestKind kind = tally.kind();
        int prompt = spec.sizes().prompt(kind.promptTokens(), own);
        int output = spec.sizes().output(kind.outputTokens(), own);
        SplittableRandom way = own.split();
        int expected = spec.sizes().estimate(output, own.split());
        SimCaller.ask(
                time,
                tally,
                w.rank() * RANKS_OF_ROUTES + kind.rank(),
                prompt,
                output,
                expected,
                1 - way.nextDouble() * spec.patiencePercent() / PERCENT,
                () -> routers.get(way.nextInt(routers.size())));
    }

    private void loseEngines() {
        int lost = (int) Math.round(engines.size() * pattern.lostPart());
        time.after(LoadPattern.LOST_FROM_MS, () -> engines.subList(0, lost).forEach(SimEngine::lose));
        time.after(LoadPattern.LOST_UNTIL_MS, () -> engines.subList(0, lost).forEach(SimEngine::back));
    }

    private List<SimEngine> limited() {
        return engines.subList(0, (int) Math.round(engines.size() * pattern.limitedPart()));
    }

    private void limitEngines() {
        OptionalDouble limit = OptionalDouble.of(LoadPattern.LIMIT_PER_SECOND);
        time.after(LoadPattern.LOST_FROM_MS, () -> limited().forEach(e -> e.nameLimit(limit)));
        time.after(LoadPattern.LIMITED_UNTIL_MS, () -> limited().forEach(e -> e.nameLimit(OptionalDouble.empty())));
    }

    /** What limited engines got, once all routers could know of it. */
    private List<LimitUse> limitsUsed() {
        double fromMs = LoadPattern.LOST_FROM_MS + LimitUse.KNOWN_WITHIN_MS;
        double untilMs = LoadPattern.LIMITED_UNTIL_MS;
        return limited().stream()
                .map(e -> new LimitUse(e.mostWithin(LimitUse.WINDOW_MS, fromMs, untilMs), e.within(fromMs, untilMs)))
                .toList();
    }
}
