package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.onyxhinge.core.place.IntakeQueue;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Begins callers' requests in the order of their ranks, a slice of time at once, and lets the event loop read what has
 * come in between. While the router has processor time to spare each is begun in the turn in which it was read.
 */
final class Intake {

    /**
     * Most time in a row for beginning calls. Long against one call of a warm router (under a ms), short against the
     * target latencies of the most urgent, which may be read right after.
     */
    private static final long SLICE_MS = 5;

    /** The shortest timer there is: the event loop reads its connections before it fires. */
    private static final long READ_BETWEEN_MS = 1;

    private final Vertx vertx;
    private final Context context;
    private final ForwardingMetrics metrics;
    private final IntakeQueue<Exchange> queue = IntakeQueue.create();
    private boolean scheduled;

    Intake(Vertx vertx, Context context, ForwardingMetrics metrics) {
        this.vertx = vertx;
        this.context = context;
        this.metrics = metrics;
    }

    /** Takes a request in whose head has been checked. */
    void offer(Exchange exchange, CallPlan plan) {
        long waitMs = queue.expectedWaitMs(plan.rank());
        if (MonotonicClock.nowMs() + waitMs > plan.times().queueDeadlineMs()) {
            exchange.refuseStarved(waitMs);
            return;
        }
        queue.add(exchange, plan.rank(), plan.times().queueDeadlineMs());
        if (!scheduled) {
            scheduled = true;
            context.runOnContext(v -> turn());
        }
    }

    private void turn() {
        long startMs = MonotonicClock.nowMs();
        for (Exchange late : queue.expired(startMs)) {
            late.refuseStarved(queue.expectedWaitMs(Integer.MAX_VALUE));
        }
        long nowMs = startMs;
        Optional<Exchange> next = queue.next(nowMs);
        while (next.isPresent()) {
            next.get().begin();
            nowMs = MonotonicClock.nowMs();
            next = nowMs - startMs < SLICE_MS ? queue.next(nowMs) : Optional.empty();
        }
        scheduled = !queue.isEmpty();
        if (scheduled) {
            metrics.event("intake.behind");
            vertx.setTimer(READ_BETWEEN_MS, t -> turn());
        }
    }

    /** Requests that wait to be begun. */
    int waiting() {
        return queue.size();
    }
}
