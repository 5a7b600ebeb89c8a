package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.model.Tier;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Long randomised runs with the scheduler's internal {@link Invariants} enabled. On the returned actions they check
 * that every request gets exactly one final answer, that none is dispatched twice, and that a refused request was never
 * dispatched and is reported as not run. The shedding rule (no higher tier is refused while stopping lower-tier work
 * would let it start) is asserted inside the scheduler.
 */
class SchedulerProperties {

    private static final Tier[] TIERS = {
        new Tier("gold", 0, 500, 61, 10_000),
        new Tier("silver", 1, 1_500, 200, 60_000),
        new Tier("bronze", 2, 20_000, 1_000, 600_000)
    };

    private static final int WORKSPACE_LIMIT = 5;

    @Property(tries = 200, seed = "42")
    void everyRequestEndsOnceAndNoneIsDispatchedTwice(
            @ForAll @LongRange(min = 1, max = Long.MAX_VALUE) long seed,
            @ForAll @IntRange(min = 1, max = 6) int engines) {
        Run run = new Run(seed, engines, new RoutingPolicy.EarliestFirstToken());
        run.runSteps(600);
        run.finishEverything();
        assertThat(run.open(), is(empty()));
        assertThat(run.ended.size(), equalTo(run.submitted));
        assertThat("slots and counts released", run.scheduler.snapshot().inFlightByWorkspace(), anEmptyMap());
        run.scheduler
                .snapshot()
                .engines()
                .forEach(e -> assertThat("slot leaked on " + e.engineId(), e.ownInFlight(), equalTo(0)));
    }

    @Property(tries = 60, seed = "43")
    void baselinePoliciesNeitherQueueNorPreempt(
            @ForAll @LongRange(min = 1, max = Long.MAX_VALUE) long seed, @ForAll boolean roundRobin) {
        Run run = new Run(seed, 3, roundRobin ? new RoutingPolicy.RoundRobin() : new RoutingPolicy.LeastOutstanding());
        run.runSteps(300);
        assertThat(
                run.scheduler.snapshot().queuedByPool().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum(),
                equalTo(0));
        run.finishEverything();
        assertThat(run.open(), is(empty()));
    }

    /** One randomised run against a scheduler that checks every action. */
    private static final class Run {
        private final Random random;
        private final RoutingPolicy policy;
        private final Scheduler scheduler;
        private final Set<String> dispatched = new HashSet<>();
        private final Map<String, RequestSpec> running = new HashMap<>();
        private final Map<String, String> ended = new HashMap<>();
        private final Map<String, RequestSpec> all = new HashMap<>();
        private long nowMs = 1_000;
        private final int engines;
        private int submitted;

        private Run(long seed, int engines, RoutingPolicy policy) {
            this.random = new Random(seed);
            this.policy = policy;
            this.scheduler = Scheduler.create(new SchedulerSettings(policy, 8, 3_000, 500, 64, 3, 1, 100));
            this.engines = engines;
            for (int i = 0; i < engines; i++) {
                EngineInfo info = new EngineInfo(
                        "e" + i,
                        "p",
                        "h",
                        i,
                        1 + random.nextInt(4),
                        2_000 + random.nextInt(40_000),
                        20 + random.nextInt(100),
                        false);
                scheduler.engineJoined(info, nowMs);
            }
        }

        private void runSteps(int steps) {
            for (int i = 0; i < steps; i++) {
                nowMs += random.nextInt(40);
                int choice = random.nextInt(10);
                if (choice < 5) {
                    submit();
                } else if (choice < 8 && !running.isEmpty()) {
                    progressOne();
                } else if (choice == 8 && !open().isEmpty()) {
                    abandonOne();
                } else {
                    apply(scheduler.tick(nowMs));
                }
            }
        }

        private void submit() {
            Tier tier = TIERS[random.nextInt(TIERS.length)];
            String id = "q" + submitted++;
            RequestSpec spec = new RequestSpec(
                    id,
                    "w" + random.nextInt(3),
                    tier,
                    "s",
                    "p",
                    1 + random.nextInt(3_000),
                    1 + random.nextInt(200),
                    random.nextInt(4),
                    50,
                    "",
                    false,
                    nowMs);
            all.put(id, spec);
            apply(scheduler.submit(spec, WORKSPACE_LIMIT, nowMs));
        }

        private void progressOne() {
            String id = randomElement(running.keySet());
            switch (random.nextInt(4)) {
                case 0 -> scheduler.firstToken(id, nowMs);
                case 1 -> unsent(id);
                default -> finishOne();
            }
        }

        /** Simulates an unreachable target: the request may be dispatched once more. */
        private void unsent(String id) {
            running.remove(id);
            dispatched.remove(id);
            apply(scheduler.unsent(id, nowMs));
            for (int i = 0; i < engines; i++) {
                apply(scheduler.engineReported(new LoadReport("e" + i, 0, 0, List.of(), false), nowMs));
            }
        }

        private void abandonOne() {
            String id = randomElement(open());
            running.remove(id);
            end(id, "abandoned");
            apply(scheduler.ended(id, nowMs));
        }

        private String randomElement(Set<String> ids) {
            List<String> sorted = new ArrayList<>(ids);
            sorted.sort(null);
            return sorted.get(random.nextInt(sorted.size()));
        }

        private void finishOne() {
            String id = randomElement(running.keySet());
            running.remove(id);
            end(id, "completed");
            apply(scheduler.ended(id, nowMs));
        }

        private void finishEverything() {
            for (int guard = 0; guard < 10_000 && open().size() > 0; guard++) {
                nowMs += 100;
                if (!running.isEmpty()) {
                    finishOne();
                } else {
                    apply(scheduler.tick(nowMs));
                }
            }
        }

        private Set<String> open() {
            Set<String> open = new HashSet<>(all.keySet());
            open.removeAll(ended.keySet());
            return open;
        }

        private void apply(List<Action> actions) {
            for (Action a : actions) {
                switch (a) {
                    case Action.Dispatch d -> {
                        assertThat("dispatched twice: " + d.requestId(), dispatched.add(d.requestId()), is(true));
                        running.put(d.requestId(), d.spec());
                    }
                    case Action.Refuse r -> {
                        assertThat(
                                "refused after dispatch: " + r.requestId(),
                                dispatched.contains(r.requestId()),
                                is(false));
                        assertThat(r.refusal().reason().notRun(), is(true));
                        if (policyUsesTiers() && r.refusal().reason() == RefusalReason.WORKSPACE_LIMIT) {
                            assertThat(lowerTierOpen(r.spec()), is(empty()));
                        }
                        end(r.requestId(), "refused");
                    }
                    case Action.RequestPreemption r -> apply(scheduler.preemptionAnswered(r.requestId(), false, nowMs));
                    case Action.Cancel c -> {
                        assertThat(policyUsesTiers() || c.refusal().reason() != RefusalReason.PREEMPTED, is(true));
                        running.remove(c.requestId());
                        end(c.requestId(), "cancelled");
                    }
                }
            }
        }

        private boolean policyUsesTiers() {
            return policy instanceof RoutingPolicy.EarliestFirstToken;
        }

        /** Requests of the same workspace and a lower tier that are still queued or running. */
        private Set<String> lowerTierOpen(RequestSpec spec) {
            Set<String> lower = open();
            lower.removeIf(id -> !all.get(id).workspace().equals(spec.workspace())
                    || all.get(id).tier().rank() <= spec.tier().rank());
            return lower;
        }

        private void end(String id, String outcome) {
            assertThat("ended twice: " + id, ended.put(id, outcome) == null, is(true));
        }
    }
}
