package org.onyxhinge.agent;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.core.room.PreemptionBroker;
import org.onyxhinge.core.room.PreemptionStep;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerAcceptor;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * Connections from the routers that subscribed to this agent. Accepts connections, broadcasts reports,
 * relays preemption requests between routers, and passes orders to the {@link OrderExecutor}. Runs on the
 * agent's control context.
 */
final class RouterConnections implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(RouterConnections.class);
    /** Time that a router has to reply to a preemption request while other routers can still be asked. */
    private static final long PREEMPTION_TURN_MS = 25;
    /**
     * Time that the last router asked has to reply. A router that takes longer is unavailable, and by then
     * the router that requested preemption has most likely given up as well.
     */
    private static final long PREEMPTION_LAST_TURN_MS = 1_000;

    private static final long PREEMPTION_TICK_INTERVAL_MS = 5;

    private final Vertx vertx;
    private final Supplier<PeerMessage.Hello> hello;
    private final OrderExecutor orders;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, PeerConnection> connectionsByRouter = new TreeMap<>();
    private final PreemptionBroker preemptionBroker =
            PreemptionBroker.create(PREEMPTION_TURN_MS, PREEMPTION_LAST_TURN_MS);
    private final PeerAcceptor acceptor;
    private NetServer server;
    private long preemptionTimer = -1;

    private RouterConnections(Vertx vertx, Supplier<PeerMessage.Hello> hello, OrderExecutor orders) {
        this.vertx = vertx;
        this.hello = hello;
        this.orders = orders;
        this.acceptor = PeerAcceptor.create(vertx);
    }

    /** Starts listening for routers. Must be called on the control context. */
    static Future<RouterConnections> start(
            Vertx vertx, String host, int port, Supplier<PeerMessage.Hello> hello, OrderExecutor orders) {
        RouterConnections connections = new RouterConnections(vertx, hello, orders);
        connections.server = vertx.createNetServer().connectHandler(connections::accept);
        return connections.server.listen(port, host).map(connections);
    }

    int port() {
        return server.actualPort();
    }

    Collection<String> routerIds() {
        return List.copyOf(connectionsByRouter.keySet());
    }

    PeerTraffic traffic() {
        return traffic;
    }

    /** Sends a message to every subscribed router. */
    void broadcast(PeerMessage message) {
        connectionsByRouter.values().forEach(c -> c.send(message));
    }

    @Override
    public void close() {
        server.close();
    }

    private void accept(NetSocket socket) {
        RouterSession routerSession = new RouterSession();
        routerSession.connection = acceptor.accept(socket, traffic, routerSession::onMessage, routerSession::onClose);
    }

    /** A connection from a router, whose id is unknown until it subscribes. */
    private final class RouterSession {
        private PeerConnection connection;
        private String routerId;

        private void onMessage(PeerMessage message) {
            if (message instanceof PeerMessage.Subscribe s) {
                onSubscribe(s.routerId());
            } else if (message instanceof PeerMessage.OrderRequest o) {
                submitOrder(o);
            } else if (routerId != null && message instanceof PeerMessage.ToAgent m) {
                handle(m);
            } else {
                LOG.warnf("unexpected peer message router=%s message=%s", routerId, message);
                connection.close();
            }
        }

        private void onSubscribe(String id) {
            routerId = id;
            PeerConnection previous = connectionsByRouter.put(id, connection);
            if (previous != null && previous != connection) {
                previous.close();
            }
            connection.send(hello.get());
            LOG.infof("router subscribed router=%s", id);
        }

        private void handle(PeerMessage.ToAgent message) {
            switch (message) {
                case PeerMessage.Subscribe s -> onSubscribe(s.routerId());
                case PeerMessage.PreemptionRequest r ->
                    execute(preemptionBroker.preemptionRequested(
                            routerId, r.askId(), r.rank(), routerIds(), MonotonicClock.nowMs()));
                case PeerMessage.PreemptResult y ->
                    execute(preemptionBroker.answered(routerId, y.turnId(), y.made(), MonotonicClock.nowMs()));
                case PeerMessage.OrderRequest o -> submitOrder(o);
            }
        }

        /** Submits an order, which may also arrive on a connection that never subscribes. */
        private void submitOrder(PeerMessage.OrderRequest o) {
            orders.submit(o.order())
                    .onSuccess(r -> connection.send(new PeerMessage.OrderReply(o.orderId(), r.status(), r.detail())));
        }

        private void onClose() {
            if (routerId != null && connectionsByRouter.remove(routerId, connection)) {
                LOG.infof("router disconnected router=%s", routerId);
                execute(preemptionBroker.routerDisconnected(routerId, MonotonicClock.nowMs()));
            }
        }
    }

    private void execute(List<PreemptionStep> steps) {
        for (PreemptionStep step : steps) {
            PeerConnection to = connectionsByRouter.get(step.routerId());
            if (to != null) {
                to.send(
                        switch (step) {
                            case PreemptionStep.AskRouter a -> new PeerMessage.PreemptCommand(a.turnId(), a.rank());
                            case PreemptionStep.Answer a -> new PeerMessage.PreemptionReply(a.askId(), a.made());
                        });
            }
        }
        if (preemptionBroker.pendingCount() > 0 && preemptionTimer < 0) {
            preemptionTimer = vertx.setPeriodic(PREEMPTION_TICK_INTERVAL_MS, t -> preemptionTick());
        }
    }

    /** Advances open preemption requests; the timer runs only while there are any. */
    private void preemptionTick() {
        execute(preemptionBroker.tick(MonotonicClock.nowMs()));
        if (preemptionBroker.pendingCount() == 0) {
            vertx.cancelTimer(preemptionTimer);
            preemptionTimer = -1;
        }
    }
}
