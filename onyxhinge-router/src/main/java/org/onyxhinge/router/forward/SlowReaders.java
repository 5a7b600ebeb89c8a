package org.onyxhinge.router.forward;

import java.util.List;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.impl.ConnectionBase;
import org.jboss.logging.Logger;
import org.onyxhinge.core.limit.ReaderBuffers;
import org.onyxhinge.runtime.server.ServerCapacity;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Counts the response bytes that are buffered for callers, and closes the connections of those that must be cut. Bytes
 * count from their write until Vert.x has passed them to the operating system. Without limits, nothing is counted.
 */
final class SlowReaders {

    private static final Logger LOG = Logger.getLogger(SlowReaders.class);
    private static final List<ReaderBuffers.Cut<HttpConnection>> NO_CUTS = List.of();

    private static final int MAX_BACKLOG_BYTES = 16_384;
    private static final long STREAM_HEAP_PERCENT = 10;
    private static final long MAX_STREAM_BYTES = ServerCapacity.heapBytes(STREAM_HEAP_PERCENT);

    private final Vertx vertx;
    private final boolean enabled;
    private final ReaderBuffers<HttpConnection> buffers;
    private final ForwardingMetrics metrics;
    private final Consumer<HttpConnection> beforeCut;
    private long streamBytes;

    /**
     * Creates an instance without any bytes.
     *
     * @param beforeCut called with a connection that is about to be closed
     */
    SlowReaders(Vertx vertx, ReaderLimits limits, ForwardingMetrics metrics, Consumer<HttpConnection> beforeCut) {
        this.vertx = vertx;
        this.enabled = limits.enabled();
        this.buffers = ReaderBuffers.create(limits.connectionBytes(), limits.totalBytes(), limits.stallMs());
        this.metrics = metrics;
        this.beforeCut = beforeCut;
    }

    /** Whether buffered bytes are counted. */
    boolean enabled() {
        return enabled;
    }

    /**
     * Records bytes about to be written to a connection, which stay in memory until they are released. Others are cut
     * before if there is no room for them.
     *
     * @return false if the connection itself is cut: the bytes must not be written
     */
    boolean buffered(HttpConnection connection, int bytes) {
        if (!enabled) {
            return true;
        }
        long nowMs = MonotonicClock.nowMs();
        buffers.buffered(connection, bytes, nowMs);
        boolean kept = true;
        for (ReaderBuffers.Cut<HttpConnection> cut : buffers.aboveTotal() ? buffers.cut(nowMs) : NO_CUTS) {
            if (cut.reader() == connection) {
                kept = false;
                // The exchange that writes must not end before it has returned.
                vertx.runOnContext(v -> cut(cut));
            } else {
                cut(cut);
            }
        }
        return kept;
    }

    /**
     * Follows a write.
     *
     * @param released number of buffered bytes that are no longer in memory once it has ended
     */
    void writing(HttpConnection connection, Future<Void> write, int released) {
        if (enabled) {
            write.onComplete(r -> {
                if (r.succeeded()) {
                    buffers.progressed(connection, MonotonicClock.nowMs());
                }
                buffers.released(connection, released);
            });
        }
    }

    /** Follows a write of a stream. */
    void streaming(Future<Void> write, int bytes) {
        streamBytes += bytes;
        write.onComplete(r -> streamBytes -= bytes);
    }

    /** Whether streams hold so much together that those give way whose callers do not read. */
    boolean streamsHoldTooMuch() {
        return !enabled && streamBytes > MAX_STREAM_BYTES;
    }

    /**
     * Bytes of a stream that may wait for its caller before its target is read no further. With limits there is no such
     * bound: a stream that waits for long is cut, rather than hold a slot of its target.
     */
    int maxStreamBacklogBytes() {
        if (enabled) {
            return Integer.MAX_VALUE;
        }
        return streamsHoldTooMuch() ? 0 : MAX_BACKLOG_BYTES;
    }

    /** Cuts the callers that exceed a limit. */
    void cut(long nowMs) {
        if (enabled) {
            buffers.cut(nowMs).forEach(this::cut);
        }
    }

    private void cut(ReaderBuffers.Cut<HttpConnection> cut) {
        HttpConnection connection = cut.reader();
        metrics.event("readers.cut");
        LOG.infof(
                "reader cut caller=%s bufferedBytes=%d unreadMs=%d why=%s",
                connection.remoteAddress(), cut.bytes(), cut.unreadMs(), cut.reason());
        beforeCut.accept(connection);
        if (connection instanceof ConnectionBase c) {
            // HttpConnection.close() and Channel.close() first write what is buffered, which ends only if the caller
            // reads.
            c.channelHandlerContext().close();
        } else {
            connection.close();
        }
    }

    /** Buffered bytes, for the state dump. */
    JsonObject dump() {
        return new JsonObject()
                .put("connections", buffers.size())
                .put("bufferedBytes", buffers.bufferedBytes())
                .put("largestBytes", buffers.largestBytes())
                .put("streamBytes", streamBytes);
    }
}
