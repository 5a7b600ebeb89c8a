package org.onyxhinge.tools.capacity;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.ProcessNetwork;
import org.onyxhinge.runtime.ReadBarrier;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;

/** Delay that a call of an otherwise idle event loop has from waiting until the connections are read once more. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ReadBarrierBenchmark {

    /** Actions in a row; each is added by the one before it. */
    private static final int ACTIONS = 1_000;

    private static final long CLOSE_TIMEOUT_MS = 10_000;

    private Vertx vertx;
    private Context context;
    private ReadBarrier barrier;

    @Setup
    public void start() {
        vertx = ProcessNetwork.create().vertx(new VertxOptions().setEventLoopPoolSize(1));
        context = vertx.getOrCreateContext();
        barrier = ReadBarrier.of(context);
    }

    @TearDown
    public void stop() {
        Launch.await(vertx.close(), CLOSE_TIMEOUT_MS);
    }

    @Benchmark
    @OperationsPerInvocation(ACTIONS)
    public void afterRead() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        context.runOnContext(v -> next(ACTIONS, done));
        done.await();
    }

    private void next(int left, CountDownLatch done) {
        if (left == 0) {
            done.countDown();
        } else {
            barrier.afterRead(() -> next(left - 1, done));
        }
    }
}
