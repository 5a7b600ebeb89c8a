package org.onyxhinge.tools.capacity;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.schedule.Action;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.Scheduler;
import org.onyxhinge.core.schedule.SchedulerSettings;
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
 * Cost of the scheduling decisions for one request, from submission to completion, by the number of engines the
 * router tracks in the pool and the queue length. With an empty queue half of the engine slots are occupied; otherwise
 * all are, and the request joins the end of the queue.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class SchedulerBenchmark {

    private static final int MAX_BATCH = 8;
    private static final int FIRST_TOKEN_BUDGET_MS = 1_000_000;
    private static final Tier TIER = new Tier("gold", 1, FIRST_TOKEN_BUDGET_MS, 61, 10_000_000);

    /** Number of engines the router tracks in the pool. */
    @Param({"4", "16", "64"})
    public int engines;

    /** Number of requests in the router's queue. */
    @Param({"0", "64", "256"})
    public int queued;

    private Scheduler scheduler;
    private long nowMs;
    private long nextId;

    /** Occupies the engines and fills the queue. */
    @Setup(Level.Iteration)
    public void fill() {
        scheduler = Scheduler.create(SchedulerSettings.defaults());
        nowMs = 1_000;
        for (int i = 0; i < engines; i++) {
            scheduler.engineJoined(new EngineInfo("e" + i, "p", "h", i, MAX_BATCH, 20_000, 50, false), nowMs);
        }
        int running = queued == 0 ? engines * MAX_BATCH / 2 : engines * MAX_BATCH;
        for (int i = 0; i < running + queued; i++) {
            scheduler.submit(spec(), Integer.MAX_VALUE, nowMs);
        }
    }

    /** Submits and ends one request. */
    @Benchmark
    public List<Action> submitAndEnd() {
        RequestSpec spec = spec();
        scheduler.submit(spec, Integer.MAX_VALUE, nowMs);
        return scheduler.ended(spec.requestId(), nowMs);
    }

    /** Runs the periodic check of queues and deadlines. */
    @Benchmark
    public List<Action> tick() {
        return scheduler.tick(nowMs);
    }

    private RequestSpec spec() {
        return new RequestSpec("q" + nextId++, "w", TIER, "s", "p", 200, 100, 0, 0, "", false, nowMs);
    }
}
