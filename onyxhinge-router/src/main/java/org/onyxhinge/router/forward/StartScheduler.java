package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.onyxhinge.core.place.IntakeQueue;
import org.onyxhinge.wire.Loop;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Starts processing of callers' requests in order of rank, in time slices between which the event loop reads new
 * requests. While the router has spare processor time, each request starts in the event loop turn in which it was read.
 */
final class StartScheduler {

    /**
     * Maximum time per slice. Long compared with one call of a warmed-up router (under 1 ms), short compared with the
     * target latencies of the most urgent requests, which may be read right after the slice.
     */
    private static final long SLICE_MS = 5;

    /** The shortest possible timer: the event loop reads its connections before the timer fires. */
    private static final long READ_PAUSE_MS = 1;

    private final Vertx vertx;
    private final Context context;
    private final ForwardingMetrics metrics;
    private final IntakeQueue<Exchange> queue = IntakeQueue.create();
    private final Loop loop = Loop.named("start of requests");
    private boolean scheduled;

    StartScheduler(Vertx vertx, Context context, ForwardingMetrics metrics) {
        this.vertx = vertx;
        this.context = context;
        this.metrics = metrics;
    }

    /** Enqueues a request whose head has been accepted. */
    void offer(Exchange exchange, CallPlan plan) {
        long waitMs = queue.expectedWaitMs(plan.rank());
        if (MonotonicClock.nowMs() + waitMs > plan.times().queueDeadlineMs()) {
            exchange.refuseOverloaded(waitMs);
            return;
        }
        queue.add(exchange, plan.rank(), plan.times().queueDeadlineMs());
        if (!scheduled) {
            scheduled = true;
            context.runOnContext(v -> runSlice());
        }
    }

    private void runSlice() {
        loop.turn(this::beginNext);
        scheduled = !queue.isEmpty();
        if (scheduled) {
            metrics.event("intake.behind");
            vertx.setTimer(READ_PAUSE_MS, t -> runSlice());
        }
    }

    private void beginNext() {
        long startMs = MonotonicClock.nowMs();
        for (Exchange late : queue.expired(startMs)) {
            late.refuseOverloaded(queue.expectedWaitMs(Integer.MAX_VALUE));
        }
        long nowMs = startMs;
        Optional<Exchange> next = queue.next(nowMs);
        while (next.isPresent()) {
            next.get().begin();
            nowMs = MonotonicClock.nowMs();
            next = nowMs - startMs < SLICE_MS ? queue.next(nowMs) : Optional.empty();
        }
    }

    /** How long a request of any rank that arrives now would wait in the queue. */
    long expectedWaitMs() {
        return queue.expectedWaitMs(Integer.MAX_VALUE);
    }

    /** Number of requests whose processing has not started. */
    int queuedCount() {
        return queue.size();
    }
}
