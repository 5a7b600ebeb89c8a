package org.onyxhinge.runtime;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;

/**
 * Lets actions of an event loop wait until the loop has read its connections once more, so that they know what has
 * arrived before them: an event loop that was late finds a request and the end of its connection together, and reads
 * the request first. Confined to the event loop.
 */
public final class ReadBarrier {

    /**
     * What was read first in a longer pass is old at its end: the connections are read once more. Only once, since a
     * loop that is always busy has no shorter passes.
     */
    private static final long MAX_PASS_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Actions that take longer than this together wait for another pass. */
    private static final long MAX_RUN_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private final ContextInternal context;
    private final EventLoop loop;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean scheduled;
    /** Actions that were added before the pass began. */
    private int admitted;

    private long passBeganNs;
    private boolean repeated;

    private ReadBarrier(ContextInternal context) {
        this.context = context;
        this.loop = context.nettyEventLoop();
    }

    /** Creates a barrier without actions for the event loop of a context. */
    public static ReadBarrier of(Context context) {
        return new ReadBarrier((ContextInternal) context);
    }

    /** Runs an action on the context after the loop has read its connections; actions keep their order. */
    public void afterRead(Runnable action) {
        waiting.add(action);
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::beginPass);
        }
    }

    /**
     * Schedules the end of the pass. Called by a task of the loop, which runs its tasks after it has read; a timer that
     * such a task sets is not due before the tasks after the next read.
     */
    private void beginPass() {
        admitted = waiting.size();
        passBeganNs = System.nanoTime();
        loop.schedule(this::endPass, 0, TimeUnit.NANOSECONDS);
    }

    private void endPass() {
        repeated = !repeated && System.nanoTime() - passBeganNs > MAX_PASS_NS;
        if (repeated) {
            beginPass();
        } else {
            context.emit(v -> runAdmitted());
        }
    }

    private void runAdmitted() {
        long untilNs = System.nanoTime() + MAX_RUN_NS;
        try {
            do {
                admitted--;
                waiting.remove().run();
            } while (admitted > 0 && System.nanoTime() < untilNs);
        } finally {
            scheduled = !waiting.isEmpty();
            if (scheduled) {
                beginPass();
            }
        }
    }
}
