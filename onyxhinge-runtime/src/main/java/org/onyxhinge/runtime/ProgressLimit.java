package org.onyxhinge.runtime;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;

/**
 * Time limits of something that arrives in parts: each part is due some time after the one before, and the last one
 * some time after the start. What has arrived but was not read, because the event loop was late, counts as in time.
 * Confined to one event loop.
 */
public final class ProgressLimit implements AutoCloseable {

    private final Vertx vertx;
    private final ReadBarrier reads;
    private final long partMs;
    private final long totalMs;
    private final Runnable expired;
    private final long startNs = System.nanoTime();
    private long dueNs;
    private long timer;
    private boolean closed;

    private ProgressLimit(Vertx vertx, ReadBarrier reads, long partMs, long totalMs, Runnable expired) {
        this.vertx = vertx;
        this.reads = reads;
        this.partMs = partMs;
        this.totalMs = totalMs;
        this.expired = expired;
    }

    /**
     * Starts the limits; must be called on the event loop.
     *
     * @param firstMs time until the first part
     * @param partMs time between two parts
     * @param totalMs time until the last part
     * @param expired runs once if a part is late; not after {@link #close}
     */
    public static ProgressLimit start(Vertx vertx, long firstMs, long partMs, long totalMs, Runnable expired) {
        ReadBarrier reads = ReadBarrier.of(vertx.getOrCreateContext());
        ProgressLimit limit = new ProgressLimit(vertx, reads, partMs, totalMs, expired);
        limit.dueIn(firstMs);
        limit.schedule();
        return limit;
    }

    /** Records that a part has arrived. */
    public void progress() {
        dueIn(partMs);
    }

    private void dueIn(long ms) {
        long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(totalMs);
        dueNs = Math.min(endNs, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private void schedule() {
        long waitMs = TimeUnit.NANOSECONDS.toMillis(dueNs - System.nanoTime()) + 1;
        timer = vertx.setTimer(Math.max(1, waitMs), t -> reads.afterRead(this::check));
    }

    private void check() {
        if (closed) {
            return;
        }
        if (System.nanoTime() < dueNs) {
            schedule();
        } else {
            closed = true;
            expired.run();
        }
    }

    /** Ends the limits. */
    @Override
    public void close() {
        closed = true;
        vertx.cancelTimer(timer);
    }
}
