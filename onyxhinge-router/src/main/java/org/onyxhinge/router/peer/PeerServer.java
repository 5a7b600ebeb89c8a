package org.onyxhinge.router.peer;

import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.frame.FrameReader;
import org.onyxhinge.wire.frame.WireException;
import org.onyxhinge.wire.peer.PeerCodec;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Accepts agents' TCP connections and hands their decoded messages to a {@link PeerListener}. A frame
 * that cannot be decoded closes that connection only; the agent reconnects. Create it on the control
 * context so the listener runs there.
 */
public final class PeerServer implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    private final NetServer server;
    private final PeerListener listener;
    private final AtomicLong frames = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    private PeerServer(Vertx vertx, PeerListener listener) {
        this.listener = listener;
        this.server = vertx.createNetServer().connectHandler(this::accept);
    }

    /** Starts listening; call on the control context. */
    public static Future<PeerServer> start(Vertx vertx, String host, int port, PeerListener listener) {
        PeerServer s = new PeerServer(vertx, listener);
        return s.server.listen(port, host).map(s);
    }

    /** The port it listens on. */
    public int port() {
        return server.actualPort();
    }

    /** Frames received, for the control traffic figures. */
    public long frames() {
        return frames.get();
    }

    /** Bytes received in frames, for the control traffic figures. */
    public long bytes() {
        return bytes.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void accept(NetSocket socket) {
        socket.handler(FrameReader.create(body -> frame(socket, body), e -> reject(socket, e)));
    }

    private void frame(NetSocket socket, Buffer body) {
        frames.incrementAndGet();
        bytes.addAndGet(body.length() + 4L);
        PeerMessage m;
        try {
            m = PeerCodec.decode(body.getBytes());
        } catch (WireException e) {
            reject(socket, e);
            return;
        }
        switch (m) {
            case PeerMessage.Hello h -> listener.hello(h);
            case PeerMessage.Load l -> listener.load(l);
            case PeerMessage.Bye b -> listener.bye(b);
        }
    }

    private void reject(NetSocket socket, WireException e) {
        LOG.warnf("peer frame rejected remote=%s error=%s", socket.remoteAddress(), e.getMessage());
        socket.close();
    }
}
