package org.onyxhinge.tools.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.core.place.Verdict;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Cost of the placement decisions for one call, from submission to completion, by the number of targets of its
 * service and the number of queued calls. Without queued calls half of the usable slots are occupied, otherwise all.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {

    private static final String SERVICE = "writers";
    private static final int SLOTS = 9;
    private static final int PEERS = 5;
    private static final long DISTANT_DEADLINE_MS = 1_000_000;

    /** Number of targets of the service. */
    @Param({"13", "64", "300"})
    public int targets;

    /** Number of calls queued at this router. */
    @Param({"0", "64"})
    public int waiting;

    private Placement placement;
    private final List<Verdict.Send> running = new ArrayList<>();
    private final long nowMs = 1_000;

    /** Occupies the targets and fills the queue. */
    @Setup(Level.Iteration)
    public void fill() {
        placement = Placement.create("dc-0");
        running.clear();
        for (int i = 0; i < targets; i++) {
            placement.targetSeen(new Target("t" + i, 0, SERVICE, "", "10.0.0.1", 80, "dc-" + i % 3, SLOTS, true, 0));
        }
        for (int p = 0; p < PEERS; p++) {
            Map<String, TargetUse> uses = new HashMap<>();
            for (int i = p; i < targets; i += PEERS) {
                uses.put("t" + i, new TargetUse(1, 600));
            }
            placement.peerUses("r" + p, uses);
            placement.peerWaiting("r" + p, Map.of(SERVICE, Map.of(2, waiting)));
        }
        int usableSlots = targets * (SLOTS - 1);
        int occupiedSlots = waiting == 0 ? usableSlots / 2 : usableSlots;
        for (int i = 0; i < occupiedSlots; i++) {
            if (placement.submit(call(), nowMs) instanceof Verdict.Send s) {
                running.add(s);
            }
        }
        for (int i = 0; i < waiting; i++) {
            placement.submit(call(), nowMs);
        }
    }

    /** Submits and ends one call; if calls are queued, one of them takes the freed slot. */
    @Benchmark
    public List<Verdict> submitAndEnd() {
        Verdict verdict = placement.submit(call(), nowMs);
        Verdict.Send ended = verdict instanceof Verdict.Send s ? s : running.removeLast();
        placement.ended(ended.call(), ended.target(), false, nowMs);
        List<Verdict> next = placement.pump(nowMs);
        for (Verdict v : next) {
            if (v instanceof Verdict.Send s) {
                running.add(s);
            }
        }
        return next;
    }

    private Call call() {
        return Call.of(SERVICE, nowMs)
                .rank(1, false)
                .times(DISTANT_DEADLINE_MS, DISTANT_DEADLINE_MS)
                .work(688, 49)
                .build();
    }
}
