package org.onyxhinge.router.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * The router's connection to one agent. Subscribes after every connect and reconnects with exponential
 * backoff until closed. Runs on the router's control context.
 */
final class AgentConnection implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(AgentConnection.class);
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 5_000;

    private final Vertx vertx;
    private final NetClient net;
    private final PeerTraffic traffic;
    private final AgentMessageListener listener;
    private final String routerId;
    private final String engineId;
    private HostPort address;
    private PeerConnection connection;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean closed;

    AgentConnection(
            Vertx vertx,
            NetClient net,
            PeerTraffic traffic,
            AgentMessageListener listener,
            String routerId,
            String engineId,
            HostPort address) {
        this.vertx = vertx;
        this.net = net;
        this.traffic = traffic;
        this.listener = listener;
        this.routerId = routerId;
        this.engineId = engineId;
        this.address = address;
        connect();
    }

    boolean connected() {
        return connection != null;
    }

    /** Sets the address for the next connect; an established connection is kept. */
    void updateAddress(HostPort newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoffMs = INITIAL_BACKOFF_MS;
        }
    }

    /** Sends a message; returns false if the agent is not connected. */
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

    private void connect() {
        if (closed) {
            return;
        }
        net.connect(address.port(), address.host()).onSuccess(this::onConnected).onFailure(e -> scheduleReconnect());
    }

    private void onConnected(NetSocket socket) {
        if (closed) {
            socket.close();
            return;
        }
        backoffMs = INITIAL_BACKOFF_MS;
        connection = PeerConnection.attach(socket, traffic, this::onMessage, this::onDisconnected);
        connection.send(new PeerMessage.Subscribe(routerId));
        LOG.debugf("agent connected engine=%s address=%s", engineId, address);
    }

    private void onDisconnected() {
        connection = null;
        scheduleReconnect();
    }

    private void scheduleReconnect() {
        if (!closed) {
            vertx.setTimer(backoffMs, t -> connect());
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
    }

    private void onMessage(PeerMessage message) {
        if (message instanceof PeerMessage.ToRouter m) {
            listener.messageReceived(engineId, m);
        } else {
            LOG.warnf("unexpected peer message engine=%s message=%s", engineId, message);
            connection.close();
        }
    }
}
