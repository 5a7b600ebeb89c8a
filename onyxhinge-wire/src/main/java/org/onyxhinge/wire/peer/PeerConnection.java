package org.onyxhinge.wire.peer;

import java.util.function.Consumer;
import java.util.function.IntPredicate;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.Loop;
import org.onyxhinge.wire.frame.FrameReader;
import org.onyxhinge.wire.frame.WireException;

/**
 * Either end of a TCP connection between a router and an agent or another router. A frame of an impossible length, or a
 * first message that cannot be decoded, closes only this connection; a later one of these costs only itself, as it may
 * come from a peer of a newer version. If the peer reads too slowly, messages are dropped to bound memory; this is safe
 * because load reports are only hints and every request has a timeout.
 */
public final class PeerConnection implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(PeerConnection.class);

    private final NetSocket socket;
    private final PeerTraffic traffic;
    private final Consumer<PeerMessage> received;
    private final Loop loop = Loop.named("messages of a peer");
    private boolean understood;
    private long unreadable;

    private PeerConnection(NetSocket socket, PeerTraffic traffic, Consumer<PeerMessage> received) {
        this.socket = socket;
        this.traffic = traffic;
        this.received = received;
    }

    /** Wraps a socket and installs its handlers; {@code received} and {@code closed} run on its context. */
    public static PeerConnection attach(
            NetSocket socket, PeerTraffic traffic, Consumer<PeerMessage> received, Runnable closed) {
        return attach(socket, traffic, bytes -> true, received, closed);
    }

    /** Does the same; {@code reads} gets the number of received bytes, and decides whether they are read. */
    static PeerConnection attach(
            NetSocket socket,
            PeerTraffic traffic,
            IntPredicate reads,
            Consumer<PeerMessage> received,
            Runnable closed) {
        PeerConnection c = new PeerConnection(socket, traffic, received);
        FrameReader frames = FrameReader.create(c::handleFrame, c::reject);
        socket.handler(bytes -> {
            if (reads.test(bytes.length())) {
                frames.handle(bytes);
            }
        });
        socket.closeHandler(v -> closed.run());
        return c;
    }

    /**
     * Sends a message, or drops it if the write queue is full.
     *
     * @return false if the message was dropped
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

    private void handleFrame(Buffer body) {
        traffic.received(body.length() + FrameReader.HEADER_BYTES);
        PeerMessage message;
        try {
            message = PeerCodec.decode(body.getBytes());
        } catch (WireException e) {
            messageUnreadable(e);
            return;
        }
        understood = true;
        // The next message in what has been read does not wait for more to be received.
        loop.turn(() -> received.accept(message));
    }

    private void messageUnreadable(WireException e) {
        if (!understood) {
            reject(e);
            return;
        }
        unreadable++;
        if (Long.bitCount(unreadable) == 1) {
            LOG.warnf(
                    "peer message unreadable remote=%s count=%d error=%s",
                    socket.remoteAddress(), unreadable, e.getMessage());
        }
    }

    private void reject(WireException e) {
        LOG.warnf("peer frame rejected remote=%s error=%s", socket.remoteAddress(), e.getMessage());
        socket.close();
    }
}
