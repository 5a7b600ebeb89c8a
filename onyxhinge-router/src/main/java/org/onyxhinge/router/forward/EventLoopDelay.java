package org.onyxhinge.router.forward;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.MonotonicClock;

/** Measures how long events wait for an event loop: the time by which its timers are late. */
final class EventLoopDelay {

    private static final long INTERVAL_MS = 50;

    /** Passes over the connections until a request is read that came with its connection: accept, then read. */
    private static final int PASSES_TO_CATCH_UP = 2;

    private final Vertx vertx;
    private final ReadBarrier reads;
    private long dueAtMs;
    private long lastDelayMs;
    private long maxDelayMs;

    /** Delay of what is still to be read since the loop was late; 0 once it has caught up. */
    private long unreadMs;

    private EventLoopDelay(Vertx vertx, ReadBarrier reads) {
        this.vertx = vertx;
        this.reads = reads;
    }

    /** Starts measuring the event loop of a context, which the barrier belongs to. */
    static EventLoopDelay start(Vertx vertx, Context context, ReadBarrier reads) {
        EventLoopDelay delay = new EventLoopDelay(vertx, reads);
        context.runOnContext(v -> delay.scheduleNext());
        return delay;
    }

    private void scheduleNext() {
        dueAtMs = MonotonicClock.nowMs() + INTERVAL_MS;
        vertx.setTimer(INTERVAL_MS, t -> {
            lastDelayMs = Math.max(0, MonotonicClock.nowMs() - dueAtMs);
            maxDelayMs = Math.max(maxDelayMs, lastDelayMs);
            if (lastDelayMs >= INTERVAL_MS) {
                unreadMs = lastDelayMs;
                catchUp(lastDelayMs, PASSES_TO_CATCH_UP);
            }
            scheduleNext();
        });
    }

    private void catchUp(long delayMs, int passes) {
        if (passes > 0) {
            reads.afterRead(() -> catchUp(delayMs, passes - 1));
        } else if (unreadMs == delayMs) {
            unreadMs = 0;
        }
    }

    /** How long what is read now may have lain unread, as far as known. Called on the event loop. */
    long unreadMs(long nowMs) {
        return Math.max(unreadMs, nowMs - dueAtMs);
    }

    /** Whether the loop is late, or was when it was measured last. Called on the event loop. */
    boolean isLate(long nowMs) {
        return delayMs(nowMs) >= INTERVAL_MS;
    }

    /** The longest delay since the last call of this method. Called on the event loop. */
    long takeMaxDelayMs() {
        long max = maxDelayMs;
        maxDelayMs = 0;
        return max;
    }

    /** The last delay, or how late the present measurement is already. Called on the event loop. */
    long delayMs(long nowMs) {
        return Math.max(lastDelayMs, nowMs - dueAtMs);
    }
}
