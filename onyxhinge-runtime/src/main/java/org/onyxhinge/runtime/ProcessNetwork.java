package org.onyxhinge.runtime;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

/**
 * The network side of a process: it counts the bytes that a Vert.x instance receives and sends over TCP, without the
 * headers of TCP and IP, and can make it refuse connections. Thread-safe.
 */
public final class ProcessNetwork {

    private final TrafficCount count = new TrafficCount();
    private final CountingTransport transport = new CountingTransport(count);

    private ProcessNetwork() {}

    /** Creates an instance that has counted nothing. */
    public static ProcessNetwork create() {
        return new ProcessNetwork();
    }

    /** Creates a Vert.x instance whose connections are counted here and whose listeners can be suspended here. */
    public Vertx vertx(VertxOptions options) {
        return Vertx.builder().with(options).withTransport(transport).build();
    }

    /** Bytes received since the start. */
    public long receivedBytes() {
        return count.receivedBytes();
    }

    /** Bytes sent since the start. */
    public long sentBytes() {
        return count.sentBytes();
    }

    /**
     * Closes the listening socket of a port, so that the operating system refuses new connections. Those that exist are
     * kept. Without effect if nothing listens there, or if it is closed.
     *
     * @param acceptPending whether to accept the connections that the operating system has established by then;
     *     otherwise they are reset
     */
    public void suspendListening(int port, boolean acceptPending) {
        transport.forListener(port, listener -> listener.suspend(acceptPending));
    }

    /** Opens the listening socket of a port again. Without effect if it is open, or was never. */
    public void resumeListening(int port) {
        transport.forListener(port, SuspendableServerChannel::resume);
    }
}
