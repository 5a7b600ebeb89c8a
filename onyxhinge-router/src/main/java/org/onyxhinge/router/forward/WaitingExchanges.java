package org.onyxhinge.router.forward;

import java.util.IdentityHashMap;
import java.util.Map;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.Loop;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Exchanges whose calls wait for a slot at a target. They are reconsidered when something has changed, and by a timer
 * that runs only while there are any: a router that is idle after its start has too little processor time for an
 * unnecessary timer.
 */
final class WaitingExchanges {

    /** Interval for refusing calls that have waited too long; free slots trigger an earlier check. */
    private static final long PUMP_MS = 10;

    /** A slot that has fallen free may lie unread when the timer is later than this. */
    private static final long LATE_MS = 50;

    private final Vertx vertx;
    private final Context context;
    private final ReadBarrier reads;
    private final Placement placement;
    private final Map<Call, Exchange> waiting = new IdentityHashMap<>();
    private final Loop loop = Loop.named("waiting calls");
    private boolean pumpScheduled;
    private boolean timerRunning;

    WaitingExchanges(Vertx vertx, Context context, ReadBarrier reads, Placement placement) {
        this.vertx = vertx;
        this.context = context;
        this.reads = reads;
        this.placement = placement;
    }

    /** Adds a waiting call. It is reconsidered soon, since a free slot may suit it but none of the calls before it. */
    void add(Call call, Exchange exchange) {
        waiting.put(call, exchange);
        pumpSoon();
        if (!timerRunning) {
            startTimer();
        }
    }

    void remove(Call call) {
        waiting.remove(call);
    }

    private void startTimer() {
        timerRunning = true;
        long dueAtMs = MonotonicClock.nowMs() + PUMP_MS;
        vertx.setTimer(PUMP_MS, t -> {
            if (MonotonicClock.nowMs() - dueAtMs > LATE_MS) {
                reads.afterRead(this::onTimer);
            } else {
                onTimer();
            }
        });
    }

    private void onTimer() {
        loop.turn(this::pump);
        if (waiting.isEmpty()) {
            timerRunning = false;
        } else {
            startTimer();
        }
    }

    /** Looks for free slots once the current event has been handled. */
    void pumpSoon() {
        if (!pumpScheduled && placement.wantsPump(MonotonicClock.nowMs())) {
            pumpScheduled = true;
            context.runOnContext(v -> {
                pumpScheduled = false;
                loop.turn(this::pump);
            });
        }
    }

    private void pump() {
        for (Verdict verdict : placement.pump(MonotonicClock.nowMs())) {
            Exchange x = waiting.get(verdict.call());
            if (x != null) {
                loop.turn(() -> x.onVerdict(verdict));
            }
        }
    }
}
