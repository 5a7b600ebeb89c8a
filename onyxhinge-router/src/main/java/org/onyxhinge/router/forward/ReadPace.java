package org.onyxhinge.router.forward;

import io.vertx.core.Vertx;
import io.vertx.core.streams.ReadStream;

/**
 * Limits how fast a stream is read. One that is sent without end would otherwise take the event loop's time from all
 * other calls; its sender waits instead.
 */
final class ReadPace {

    /** Some hundred times as much as a model engine writes. */
    private static final int BYTES_PER_INTERVAL = 32_768;

    /** What handling a part costs beside its bytes, expressed in bytes. */
    private static final int PART_BYTES = 256;

    private static final long INTERVAL_MS = 20;

    private final Vertx vertx;
    private final ReadStream<?> stream;
    private long intervalEndMs;
    private int receivedBytes;
    private boolean stopped;
    private boolean waiting;

    private ReadPace(Vertx vertx, ReadStream<?> stream) {
        this.vertx = vertx;
        this.stream = stream;
    }

    static ReadPace of(Vertx vertx, ReadStream<?> stream) {
        return new ReadPace(vertx, stream);
    }

    /** Counts what was read; reading goes on in the next interval if it was too much for this one. */
    void received(int bytes, long nowMs) {
        if (nowMs >= intervalEndMs) {
            intervalEndMs = nowMs + INTERVAL_MS;
            receivedBytes = 0;
        }
        receivedBytes += bytes + PART_BYTES;
        if (receivedBytes >= BYTES_PER_INTERVAL && !waiting) {
            waiting = true;
            stream.pause();
            vertx.setTimer(Math.max(1, intervalEndMs - nowMs), t -> nextInterval());
        }
    }

    private void nextInterval() {
        waiting = false;
        if (!stopped) {
            stream.resume();
        }
    }

    /** Stops reading until {@link #go}. */
    void stop() {
        stopped = true;
        stream.pause();
    }

    /** Continues reading, at once or in the next interval. */
    void go() {
        stopped = false;
        if (!waiting) {
            stream.resume();
        }
    }
}
