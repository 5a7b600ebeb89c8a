package org.onyxhinge.core.room;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.schedule.Action;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.LoadReport;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.core.schedule.RoutingPolicy;
import org.onyxhinge.core.schedule.Scheduler;
import org.onyxhinge.core.schedule.SchedulerSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

/**
 * Several routers share engines through their agents' brokers: no router refuses a request for lack of capacity while
 * any router still runs a lower tier. The prefill rate is so high that only slots are limiting.
 */
class PreemptionBrokerProperties {

    private static final Tier[] TIERS = {
        new Tier("gold", 0, 500, 61, 1_000_000),
        new Tier("silver", 1, 500, 200, 1_000_000),
        new Tier("bronze", 2, 500, 1_000, 1_000_000)
    };
    private static final long ANSWER_TIMEOUT_MS = 20;
    private static final long LAST_ANSWER_TIMEOUT_MS = 1_000;

    @Property(tries = 150, seed = "11")
    void noTierIsShedWhileAnyRouterRunsALowerOne(
            @ForAll @LongRange(min = 1, max = Long.MAX_VALUE) long seed,
            @ForAll @IntRange(min = 2, max = 4) int routers,
            @ForAll @IntRange(min = 1, max = 3) int engines) {
        Fleet fleet = new Fleet(seed, routers, engines);
        for (int step = 0; step < 300; step++) {
            fleet.step();
        }
        fleet.brokers.values().forEach(b -> assertThat("unanswered preemption requests", b.pendingCount(), equalTo(0)));
    }

    /**
     * Guards against preempting two requests for one: on a busy machine a router may preempt a request and answer only
     * after its timeout.
     */
    @Example
    void unresponsiveRouterIsSkippedAndNotAskedAgainForTheSameRequest() {
        PreemptionBroker broker = PreemptionBroker.create(ANSWER_TIMEOUT_MS, LAST_ANSWER_TIMEOUT_MS);
        assertThat(broker.preemptionRequested("r1", 7, 0, List.of("r1", "r2", "r3"), 100), contains((PreemptionStep)
                new PreemptionStep.AskRouter("r2", 1, 1)));
        assertThat(broker.tick(119), empty());
        assertThat(broker.tick(120), contains((PreemptionStep) new PreemptionStep.AskRouter("r3", 2, 1)));
        assertThat("late answer", broker.answered("r2", 1, true, 121), empty());
        assertThat("r2 is not asked again", broker.answered("r3", 2, false, 122), contains((PreemptionStep)
                new PreemptionStep.AskRouter("r3", 3, 0)));
        assertThat(broker.routerDisconnected("r3", 123), contains((PreemptionStep)
                new PreemptionStep.Answer("r1", 7, false)));
        assertThat(broker.pendingCount(), equalTo(0));
    }

    /**
     * Guards against refusing a higher tier while a lower one runs, because the only router left to ask answered a few
     * ms late.
     */
    @Example
    void lastRouterIsNotSkippedAfterTheShorterTimeout() {
        PreemptionBroker broker = PreemptionBroker.create(ANSWER_TIMEOUT_MS, LAST_ANSWER_TIMEOUT_MS);
        broker.preemptionRequested("r1", 7, 0, List.of("r1", "r2", "r3"), 100);
        assertThat(broker.tick(120), contains((PreemptionStep) new PreemptionStep.AskRouter("r3", 2, 1)));
        assertThat(broker.tick(120 + LAST_ANSWER_TIMEOUT_MS - 1), empty());
        assertThat(broker.answered("r3", 2, true, 400), contains((PreemptionStep)
                new PreemptionStep.Answer("r1", 7, true)));
        broker.preemptionRequested("r1", 8, 0, List.of("r1", "r2"), 1_000);
        assertThat("router did not answer", broker.tick(1_000 + LAST_ANSWER_TIMEOUT_MS), contains((PreemptionStep)
                new PreemptionStep.Answer("r1", 8, false)));
        assertThat(broker.pendingCount(), equalTo(0));
    }

    /** Routers and brokers with immediate, ordered message delivery. */
    private static final class Fleet {
        private final Random random;
        private final Map<String, Scheduler> routers = new TreeMap<>();
        private final Map<String, EngineInfo> engines = new TreeMap<>();
        private final Map<String, PreemptionBroker> brokers = new TreeMap<>();
        private final Map<String, Map<String, RequestSpec>> running = new TreeMap<>();
        private final Map<String, String> engineByRequest = new HashMap<>();
        private final Map<Long, String> requestByAskId = new HashMap<>();
        private long nowMs = 1_000;
        private long nextAskId = 1;
        private int submitted;

        private Fleet(long seed, int routerCount, int engineCount) {
            random = new Random(seed);
            SchedulerSettings settings =
                    new SchedulerSettings(new RoutingPolicy.EarliestFirstToken(), 0, 1_000_000, 500, 64, 3, 1, 0);
            for (int i = 0; i < engineCount; i++) {
                String id = "e" + i;
                engines.put(id, new EngineInfo(id, "p", "h", i, 1 + random.nextInt(3), 1_000_000_000, 1_000, false));
                brokers.put(id, PreemptionBroker.create(ANSWER_TIMEOUT_MS, LAST_ANSWER_TIMEOUT_MS));
            }
            for (int i = 0; i < routerCount; i++) {
                Scheduler s = Scheduler.create(settings);
                s.lowestRank(2);
                engines.values().forEach(e -> s.engineJoined(e, nowMs));
                routers.put("r" + i, s);
                running.put("r" + i, new LinkedHashMap<>());
            }
        }

        private void step() {
            nowMs += 1 + random.nextInt(5);
            String router = "r" + random.nextInt(routers.size());
            if (random.nextInt(3) > 0) {
                Tier tier = TIERS[random.nextInt(TIERS.length)];
                String id = "q" + submitted++;
                RequestSpec spec = new RequestSpec(id, "w", tier, "s", "p", 1, 1, 0, 0, "", false, nowMs);
                report();
                carryOut(router, routers.get(router).submit(spec, 1_000_000, nowMs));
            } else if (!running.get(router).isEmpty()) {
                List<String> ids = new ArrayList<>(running.get(router).keySet());
                String id = ids.get(random.nextInt(ids.size()));
                running.get(router).remove(id);
                carryOut(router, routers.get(router).ended(id, nowMs));
            }
        }

        /** Every engine reports its load from all routers to every router. */
        private void report() {
            for (String engineId : engines.keySet()) {
                int total = (int) running.values().stream()
                        .flatMap(m -> m.keySet().stream())
                        .filter(id -> engineByRequest.get(id).equals(engineId))
                        .count();
                LoadReport load = new LoadReport(engineId, total, 0, List.of(), false);
                routers.forEach((r, s) -> carryOut(r, s.engineReported(load, nowMs)));
            }
        }

        private void carryOut(String router, List<Action> actions) {
            for (Action a : actions) {
                switch (a) {
                    case Action.Dispatch d -> {
                        running.get(router).put(d.requestId(), d.spec());
                        engineByRequest.put(d.requestId(), d.engine().engineId());
                    }
                    case Action.Refuse r -> assertNothingLowerRuns(r);
                    case Action.Cancel c -> running.get(router).remove(c.requestId());
                    case Action.RequestPreemption ask -> ask(router, ask);
                }
            }
        }

        private void ask(String router, Action.RequestPreemption ask) {
            long askId = nextAskId++;
            requestByAskId.put(askId, ask.requestId());
            PreemptionBroker broker = brokers.get(ask.engineId());
            Deque<PreemptionStep> steps = new ArrayDeque<>(
                    broker.preemptionRequested(router, askId, ask.spec().tier().rank(), routers.keySet(), nowMs));
            while (!steps.isEmpty()) {
                switch (steps.pollFirst()) {
                    case PreemptionStep.AskRouter query -> {
                        Optional<Action> stopped = routers.get(query.routerId()).makeRoom(ask.engineId(), query.rank());
                        stopped.ifPresent(s -> carryOut(query.routerId(), List.of(s)));
                        steps.addAll(broker.answered(query.routerId(), query.turnId(), stopped.isPresent(), nowMs));
                    }
                    case PreemptionStep.Answer answer -> {
                        String requestId = requestByAskId.remove(answer.askId());
                        carryOut(router, routers.get(router).preemptionAnswered(requestId, answer.made(), nowMs));
                    }
                }
            }
        }

        private void assertNothingLowerRuns(Action.Refuse refuse) {
            assertThat(refuse.refusal().reason(), equalTo(RefusalReason.QUEUE_FULL));
            running.forEach((router, specs) -> specs.values().forEach(s -> {
                if (s.tier().rank() > refuse.spec().tier().rank()) {
                    throw new AssertionError(
                            refuse.requestId() + " refused while " + router + " runs " + s.requestId());
                }
            }));
        }
    }
}
