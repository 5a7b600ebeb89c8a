package org.onyxhinge.wire.peer;

import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.frame.FrameReader;
import org.onyxhinge.wire.frame.WireException;

/**
 * One TCP connection between a router and an agent or another router, either end. A frame that cannot be decoded closes
 * this connection only. A peer that reads too slowly loses messages rather than filling memory: load
 * reports are only ever a hint, and every question has a time limit.
 */
public final class PeerConnection implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(PeerConnection.class);

    private final NetSocket socket;
    private final PeerTraffic traffic;
    private final Consumer<PeerMessage> received;

    private PeerConnection(NetSocket socket, PeerTraffic traffic, Consumer<PeerMessage> received) {
        this.socket = socket;
        this.traffic = traffic;
        this.received = received;
    }

    /** Takes over a socket; {@code received} and {@code closed} run on its context. */
    public static PeerConnection attach(
            NetSocket socket, PeerTraffic traffic, Consumer<PeerMessage> received, Runnable closed) {
        PeerConnection c = new PeerConnection(socket, traffic, received);
        socket.handler(FrameReader.create(c::frame, c::reject));
        socket.closeHandler(v -> closed.run());
        return c;
    }

    /**
     * Sends a message, or drops it while the peer does not keep up.
     *
     * @return false when it was dropped
     */
    public boolean send(PeerMessage message) {
        if (socket.writeQueueFull()) {
            return false;
        }
        Buffer frame = FrameReader.frame(PeerCodec.encode(message));
        traffic.sent(frame.length());
        socket.write(frame);
        return true;
    }

    @Override
    public void close() {
        socket.close();
    }

    private void frame(Buffer body) {
        traffic.received(body.length() + FrameReader.HEADER_BYTES);
        PeerMessage message;
        try {
            message = PeerCodec.decode(body.getBytes());
        } catch (WireException e) {
            reject(e);
            return;
        }
        received.accept(message);
    }

    private void reject(WireException e) {
        LOG.warnf("peer frame rejected remote=%s error=%s", socket.remoteAddress(), e.getMessage());
        socket.close();
    }
}
