package org.onyxhinge.tools.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.onyxhinge.core.admit.RetryLedger;
import org.onyxhinge.core.engine.EngineRun;
import org.onyxhinge.core.engine.PromptPart;
import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.runtime.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Load pattern "herd of returns": a burst of 2.2 times for 5 s at 25 routers, in virtual time. Refused callers retry
 * once, at a random router of their data centre, when they were told to. The usual load is below what the engines can
 * serve; the burst is above it.
 */
class HerdOfReturnsTest {

    private static final int ROUTERS = 25;
    private static final int SEEDS = 2;
    private static final double USUAL_LOAD = 1.0;
    private static final double BURST_FACTOR = 2.2;
    private static final double BURST_START_MS = 6_000;
    private static final double BURST_END_MS = 11_000;
    private static final double END_MS = 20_000;
    private static final double BIN_MS = 100;
    private static final double PEER_DELAY_MS = 42;
    private static final Set<Mechanism> BOTH = Set.of(Mechanism.PLANNED_RETURNS, Mechanism.ON_TIME_FIRST);

    /** One run, with the callers in it. */
    private static final class Run {
        private final VirtualTime time = new VirtualTime();
        private final SplittableRandom random;
        private final List<PlacementRouter> routers = new ArrayList<>();
        private final int[] retries = new int[(int) (2 * END_MS / BIN_MS)];
        private final boolean scheduled;
        private final boolean shareRefusals;
        private int calls;
        private int refusedTwice;

        Run(Set<Mechanism> mechanisms, boolean shareRefusals, long seed) {
            this.random = new SplittableRandom(seed);
            this.scheduled = mechanisms.contains(Mechanism.PLANNED_RETURNS);
            this.shareRefusals = shareRefusals;
            FleetSpec site = Settings.load(Path.of("..", "examples", "scheduling", "fleet.ini"))
                    .flatMap(FleetSpec::read)
                    .getOrElseThrow(e -> new AssertionError(e.getMessage()));
            List<SimEngine> engines = IntStream.range(0, site.engines())
                    .mapToObj(i -> new SimEngine(
                            time,
                            new Target(
                                    "e" + i,
                                    0,
                                    PlacementRouter.SERVICE,
                                    "",
                                    "h",
                                    1,
                                    "dc-" + i % 3,
                                    site.engineAt(i).slots(),
                                    true,
                                    0),
                            site.engineAt(i)))
                    .toList();
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new PlacementRouter(
                        time,
                        "r" + i,
                        "dc-" + i % 3,
                        PlacementSettings.defaults().with(mechanisms),
                        engines,
                        this::reserved));
            }
            for (int i = 0; i < ROUTERS; i++) {
                PlacementRouter self = routers.get(i);
                IntStream.range(0, ROUTERS).forEach(j -> self.placement().routerSeen("r" + j, "dc-" + j % 3));
                time.every(4.0 * i / ROUTERS, 4, new PeerUpdateSender(time, self, routers)::sendDue);
            }
            site.kinds().forEach(this::scheduleNext);
            time.runUntil(2 * END_MS);
        }

        private void reserved(String router, String target) {
            routers.stream()
                    .filter(r -> r.id().equals(router))
                    .forEach(r -> time.after(2, () -> r.slotReserved(target)));
        }

        private void scheduleNext(RequestKind kind) {
            boolean burst = time.nowMs() >= BURST_START_MS && time.nowMs() < BURST_END_MS;
            double perMs = kind.perSecond() * USUAL_LOAD * (burst ? BURST_FACTOR : 1) / 1_000;
            time.after(random.nextExponential() / perMs, () -> {
                if (time.nowMs() < END_MS) {
                    calls++;
                    send(
                            kind,
                            random.nextInt(3),
                            time.nowMs() + kind.deadlineMs() * (1 - 0.15 * random.nextDouble()),
                            true);
                    scheduleNext(kind);
                }
            });
        }

        private void send(RequestKind kind, int dataCentre, double deadlineMs, boolean first) {
            int index = dataCentre + 3 * random.nextInt((ROUTERS - dataCentre + 2) / 3);
            EngineRun run = EngineRun.of(
                    List.of(new PromptPart(time.eventsCreated(), kind.promptTokens())), kind.outputTokens());
            long remainingMs = (long) (deadlineMs - time.nowMs());
            routers.get(index)
                    .submit(new SimAttempt(
                            kind, kind.rank(), run, kind.promptTokens(), 0, remainingMs, new SimAttempt.Listener() {
                                @Override
                                public void refused(double retryAfterMs) {
                                    onRefused(kind, index, deadlineMs, first, retryAfterMs);
                                }

                                @Override
                                public void event() {}

                                @Override
                                public void completed() {}

                                @Override
                                public void failed() {}
                            }));
        }

        private void onRefused(RequestKind kind, int router, double deadlineMs, boolean first, double retryAfterMs) {
            if (shareRefusals) {
                long retryAtMs = (long) (time.nowMs() + retryAfterMs);
                routers.get(router).placement().retryLedger().ifPresent(l -> l.refusalSent(time.nowMillis()));
                time.after(
                        PEER_DELAY_MS,
                        () -> IntStream.range(0, ROUTERS)
                                .filter(i -> i != router && i % 3 == router % 3)
                                .forEach(i -> ledger(i).toldByPeer(retryAtMs, time.nowMillis())));
            }
            if (!first) {
                refusedTwice++;
                return;
            }
            double jittered = scheduled ? retryAfterMs : retryAfterMs * (1 + random.nextDouble() / 2);
            time.after(Math.min(jittered, (deadlineMs - time.nowMs()) / 3), () -> {
                retries[(int) (time.nowMs() / BIN_MS)]++;
                send(kind, router % 3, deadlineMs, false);
            });
        }

        private RetryLedger ledger(int router) {
            return routers.get(router).placement().retryLedger().orElseThrow();
        }

        double refusedTwiceFraction() {
            return (double) refusedTwice / calls;
        }
    }

    private static List<Run> runs(Set<Mechanism> mechanisms, boolean shareRefusals) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Run(mechanisms, shareRefusals, seed))
                .toList();
    }

    private static double refusedTwice(List<Run> runs) {
        return runs.stream().mapToDouble(Run::refusedTwiceFraction).average().orElseThrow();
    }

    /** Largest number of retries in 100 ms, relative to the mean from the first to the last retry. */
    private static double peak(List<Run> runs) {
        int[] retries = IntStream.range(0, runs.getFirst().retries.length)
                .map(i -> runs.stream().mapToInt(r -> r.retries[i]).sum())
                .toArray();
        int[] used =
                IntStream.range(0, retries.length).filter(i -> retries[i] > 0).toArray();
        double mean = (double) IntStream.of(retries).sum() / (used[used.length - 1] - used[0] + 1);
        return IntStream.of(retries).max().orElse(0) / mean;
    }

    @Nested
    class Burst {

        private final List<Run> planned = runs(BOTH, true);

        /** Guards against refused callers that all return while the queues are still full. */
        @Test
        void halfAsManyCallersAreRefusedTwice() {
            assertThat(refusedTwice(planned), lessThanOrEqualTo(refusedTwice(runs(Set.of(), false)) / 2));
        }

        /** Guards against routers that choose the same time slot because they have the same news. */
        @Test
        void retriesAreNoWave() {
            assertThat(peak(planned), lessThanOrEqualTo(2.0));
        }

        /** Guards against a wave while the promises of the other routers are missing. */
        @Test
        void retriesAreNoWaveWithoutThePromisesOfPeers() {
            assertThat(peak(runs(BOTH, false)), lessThanOrEqualTo(2.0));
        }
    }
}
