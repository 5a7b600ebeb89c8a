package org.onyxhinge.core.share;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
import org.onyxhinge.core.place.PeerUpdates;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/**
 * Load pattern: 16 workspaces of one rank, 4 of them twice as large as the others, ask for 1.5 times the slots
 * throughout; calls hold a slot for 0.5 to 1.5 s, and callers do not retry. Updates arrive after 2 ms.
 */
class WorkspaceSharesProperties {

    private static final int WORKSPACES = 16;
    private static final int LARGE = 4;
    private static final double OVERLOAD = 1.5;
    /** A workspace whose usual load is beyond its share already, so that no other one owes it time. */
    private static final int HOT = WORKSPACES - 1;

    private static final double HOT_FACTOR = 8;
    /** Shares must be fair within each span, from a time at which they are steady. */
    private static final int SPAN_MS = 10_000;

    private static final int SPANS = 2;
    private static final long FROM_MS = 20_000;
    private static final long UNTIL_MS = FROM_MS + SPANS * SPAN_MS;
    private static final int SLOTS = 10;
    private static final long READ_MS = 55;
    private static final double GAP_MS = 25;
    private static final int MEAN_EVENTS = 40;
    private static final double MEAN_HOLD_MS = READ_MS + MEAN_EVENTS * GAP_MS;

    /** Guards against a workspace with eight times its load displacing others, in fleets with and without groups. */
    @ParameterizedTest
    @CsvSource({"1, 32", "5, 32", "25, 32", "99, 99"})
    void hotWorkspaceTakesNothingFromTheOthers(int routers, int targets) {
        Fleet usual = new Fleet(routers, targets, 1);
        Fleet hot = new Fleet(routers, targets, HOT_FACTOR);
        double loss = 0;
        double part = 1;
        for (int w = 0; w < WORKSPACES; w++) {
            loss = Math.max(loss, w == HOT ? 0 : usual.servedShare(w) - hot.servedShare(w));
            for (double[] usedMs : hot.usedMs) {
                double equalMs = Arrays.stream(usedMs).sum() / WORKSPACES;
                part = Math.min(part, usedMs[w] / Math.min(equalMs, hot.callsPerMs[w] * SPAN_MS * MEAN_HOLD_MS));
            }
        }
        assertThat(loss, lessThan(0.03));
        assertThat(part, greaterThan(0.5));
    }

    /** Routers with their placements, and a queue of what happens next. */
    private static final class Fleet {

        private record Event(long atMs, long number, Runnable action) {}

        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
        private final List<Placement> routers = new ArrayList<>();
        private final Map<Call, Integer> routerOf = new HashMap<>();
        private final double[] callsPerMs = new double[WORKSPACES];
        private final double[] arrived = new double[WORKSPACES];
        private final double[] sent = new double[WORKSPACES];
        private final double[][] usedMs = new double[SPANS][WORKSPACES];
        private long number;
        private long nowMs;

        Fleet(int size, int targets, double hotFactor) {
            for (int i = 0; i < size; i++) {
                routers.add(placement(i, size, targets));
                int router = i;
                after(1 + i % 20, () -> sendUpdates(router, 0));
            }
            for (int w = 0; w < WORKSPACES; w++) {
                double part = (w < LARGE ? 2.0 : 1.0) / (WORKSPACES + LARGE) * (w == HOT ? hotFactor : 1);
                callsPerMs[w] = OVERLOAD * targets * SLOTS / MEAN_HOLD_MS * part;
                int workspace = w;
                // Each has its own seed, so that the load of one does not change the arrivals of the others.
                Random random = new Random(w);
                after(1, () -> arrive(workspace, random));
            }
            while (nowMs < UNTIL_MS) {
                Event next = events.poll();
                nowMs = next.atMs();
                next.action().run();
            }
        }

        private Placement placement(int self, int size, int targets) {
            PlacementSettings settings = PlacementSettings.defaults().with(Set.of(Mechanism.WORKSPACE_SHARES));
            Placement p = Placement.create(
                    "r" + self,
                    "here",
                    settings,
                    (peer, target) -> after(2, () -> {
                        int router = Integer.parseInt(peer.substring(1));
                        routers.get(router).slotReserved(target, nowMs);
                        pump(router);
                    }));
            for (int i = 0; i < size; i++) {
                if (i != self) {
                    p.routerSeen("r" + i, "here");
                }
            }
            for (int t = 0; t < targets; t++) {
                p.targetSeen(new Target("t" + t, 0, "writers", "", "10.0.0.1", t + 1, "here", SLOTS, true, 0));
            }
            return p;
        }

        private double servedShare(int workspace) {
            return sent[workspace] / arrived[workspace];
        }

        private void after(long ms, Runnable action) {
            events.add(new Event(nowMs + ms, number++, action));
        }

        private void arrive(int workspace, Random random) {
            double gapMs = -Math.log(1 - random.nextDouble()) / callsPerMs[workspace];
            after(Math.max(1, Math.round(gapMs)), () -> arrive(workspace, random));
            Call call = Call.of("writers", nowMs)
                    .workspace("w" + workspace)
                    .times(nowMs + 600, nowMs + 1_000)
                    .work(1_000, MEAN_EVENTS / 2 + random.nextInt(MEAN_EVENTS + 1))
                    .build();
            int router = random.nextInt(routers.size());
            routerOf.put(call, router);
            arrived[workspace] += nowMs >= FROM_MS ? 1 : 0;
            handle(routers.get(router).submit(call, nowMs));
        }

        private void handle(Verdict verdict) {
            if (!(verdict instanceof Verdict.Send s)) {
                return;
            }
            Call call = s.call();
            int router = routerOf.remove(call);
            long holdMs = READ_MS + Math.round(call.outputEvents() * GAP_MS);
            if (nowMs >= FROM_MS && nowMs < UNTIL_MS) {
                int workspace = Integer.parseInt(call.workspace().substring(1));
                sent[workspace]++;
                usedMs[(int) (nowMs - FROM_MS) / SPAN_MS][workspace] += holdMs;
            }
            after(READ_MS, () -> routers.get(router).firstByte(call, s.target(), READ_MS, call.promptTokens()));
            after(holdMs, () -> {
                routers.get(router).ended(call, s.target(), true, nowMs);
                pump(router);
            });
        }

        private void pump(int router) {
            if (routers.get(router).wantsPump(nowMs)) {
                routers.get(router).pump(nowMs).forEach(this::handle);
            }
        }

        /** Routers of other groups get heartbeats only. */
        private void sendUpdates(int from, long heartbeatAtMs) {
            pump(from);
            boolean heartbeat = nowMs >= heartbeatAtMs;
            PeerUpdates updates = routers.get(from).news(nowMs);
            for (int i = 0; i < routers.size(); i++) {
                PeerUpdate update = updates.forRouter("r" + i);
                if (i != from && (heartbeat || update.sameGroup())) {
                    int to = i;
                    after(2, () -> receive(to, "r" + from, update));
                }
            }
            long nextMs = heartbeat ? nowMs + PeerUpdateSchedule.PEER_HEARTBEAT_MS : heartbeatAtMs;
            Placement sender = routers.get(from);
            long intervalMs = PeerUpdateSchedule.intervalMs(sender.nearRouters(), sender.callsWait());
            after(intervalMs, () -> sendUpdates(from, nextMs));
        }

        private void receive(int to, String from, PeerUpdate update) {
            Placement receiver = routers.get(to);
            receiver.peerUses(from, update.uses());
            receiver.peerWaiting(from, update.waiting());
            receiver.peerRates(from, update.rates());
            receiver.peerWorkspaceUse(from, update.workspaceUse(), nowMs);
            pump(to);
        }
    }
}
