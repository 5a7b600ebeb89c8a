package org.onyxhinge.router.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * The router's connection to one agent: subscribes on every connect, and connects again, less and less
 * often, until closed. Runs on the router's control context.
 */
final class AgentLink implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(AgentLink.class);
    private static final long FIRST_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 5_000;

    private final Vertx vertx;
    private final NetClient net;
    private final PeerTraffic traffic;
    private final PeerListener listener;
    private final String routerId;
    private final String engineId;
    private String address;
    private PeerConnection connection;
    private long backoffMs = FIRST_BACKOFF_MS;
    private boolean closed;

    AgentLink(
            Vertx vertx,
            NetClient net,
            PeerTraffic traffic,
            PeerListener listener,
            String routerId,
            String engineId,
            String address) {
        this.vertx = vertx;
        this.net = net;
        this.traffic = traffic;
        this.listener = listener;
        this.routerId = routerId;
        this.engineId = engineId;
        this.address = address;
        dial();
    }

    boolean connected() {
        return connection != null;
    }

    /** Where to connect from now on; a connection that is up stays. */
    void address(String newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoffMs = FIRST_BACKOFF_MS;
        }
    }

    /** Sends a message; false when the agent is not connected. */
    boolean send(PeerMessage.ToAgent message) {
        if (connection == null) {
            return false;
        }
        connection.send(message);
        return true;
    }

    @Override
    public void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
    }

    private void dial() {
        if (closed) {
            return;
        }
        int colon = address.lastIndexOf(':');
        net.connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .onSuccess(this::connected)
                .onFailure(e -> dialLater());
    }

    private void connected(NetSocket socket) {
        if (closed) {
            socket.close();
            return;
        }
        backoffMs = FIRST_BACKOFF_MS;
        connection = PeerConnection.attach(socket, traffic, this::received, this::lost);
        connection.send(new PeerMessage.Subscribe(routerId));
        LOG.debugf("agent link up engine=%s address=%s", engineId, address);
    }

    private void lost() {
        connection = null;
        dialLater();
    }

    private void dialLater() {
        if (!closed) {
            vertx.setTimer(backoffMs, t -> dial());
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
    }

    private void received(PeerMessage message) {
        if (message instanceof PeerMessage.ToRouter m) {
            listener.received(engineId, m);
        } else {
            LOG.warnf("peer message not expected engine=%s message=%s", engineId, message);
            connection.close();
        }
    }
}
