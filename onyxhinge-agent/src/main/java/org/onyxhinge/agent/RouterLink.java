package org.onyxhinge.agent;

import java.util.function.Supplier;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.frame.FrameReader;
import org.onyxhinge.wire.peer.PeerCodec;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * The agent's connection to one router. Sends a hello on every (re)connect, then whatever the agent
 * reports; reconnects after a second while the router is still a member. Messages sent while it is
 * down are dropped: load reports are only ever a hint.
 */
final class RouterLink implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(RouterLink.class);
    private static final long RECONNECT_MS = 1_000;

    private final Vertx vertx;
    private final NetClient net;
    private final String routerId;
    private final String host;
    private final int port;
    private final Supplier<PeerMessage.Hello> hello;
    private NetSocket socket;
    private boolean closed;
    private long framesSent;
    private long bytesSent;

    RouterLink(Vertx vertx, NetClient net, String routerId, String address, Supplier<PeerMessage.Hello> hello) {
        this.vertx = vertx;
        this.net = net;
        this.routerId = routerId;
        int colon = address.lastIndexOf(':');
        this.host = address.substring(0, colon);
        this.port = Integer.parseInt(address.substring(colon + 1));
        this.hello = hello;
        dial();
    }

    String routerId() {
        return routerId;
    }

    boolean connected() {
        return socket != null;
    }

    long framesSent() {
        return framesSent;
    }

    long bytesSent() {
        return bytesSent;
    }

    void send(PeerMessage m) {
        if (socket != null) {
            byte[] body = PeerCodec.encode(m);
            framesSent++;
            bytesSent += body.length + 4L;
            socket.write(FrameReader.frame(body));
        }
    }

    private void dial() {
        if (closed) {
            return;
        }
        net.connect(port, host)
                .onSuccess(s -> {
                    socket = s;
                    s.closeHandler(v -> {
                        socket = null;
                        vertx.setTimer(RECONNECT_MS, t -> dial());
                    });
                    send(hello.get());
                    LOG.infof("router link up router=%s address=%s:%d", routerId, host, port);
                })
                .onFailure(e -> vertx.setTimer(RECONNECT_MS, t -> dial()));
    }

    @Override
    public void close() {
        closed = true;
        if (socket != null) {
            socket.close();
        }
    }
}
