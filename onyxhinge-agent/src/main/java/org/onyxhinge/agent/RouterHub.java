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
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * The routers that follow this agent's target: accepts their connections, sends them reports, relays
 * their requests for room, and hands their orders on. Runs on the agent's control context.
 */
final class RouterHub implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(RouterHub.class);
    private static final long ROOM_TURN_MS = 25;
    /** Beyond this a router is away, and so is most likely whoever asked for room. */
    private static final long ROOM_LAST_TURN_MS = 1_000;

    private static final long ROOM_TICK_MS = 5;

    private final Vertx vertx;
    private final Supplier<PeerMessage.Hello> hello;
    private final AgentOrders orders;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, PeerConnection> byRouter = new TreeMap<>();
    private final PreemptionBroker rooms = PreemptionBroker.create(ROOM_TURN_MS, ROOM_LAST_TURN_MS);
    private NetServer server;
    private long roomTimer = -1;

    private RouterHub(Vertx vertx, Supplier<PeerMessage.Hello> hello, AgentOrders orders) {
        this.vertx = vertx;
        this.hello = hello;
        this.orders = orders;
    }

    /** Listens for routers; call on the control context. */
    static Future<RouterHub> start(
            Vertx vertx, String host, int port, Supplier<PeerMessage.Hello> hello, AgentOrders orders) {
        RouterHub hub = new RouterHub(vertx, hello, orders);
        hub.server = vertx.createNetServer().connectHandler(hub::accept);
        return hub.server.listen(port, host).map(hub);
    }

    int port() {
        return server.actualPort();
    }

    Collection<String> routerIds() {
        return List.copyOf(byRouter.keySet());
    }

    PeerTraffic traffic() {
        return traffic;
    }

    /** Sends a message to every router. */
    void broadcast(PeerMessage message) {
        byRouter.values().forEach(c -> c.send(message));
    }

    @Override
    public void close() {
        server.close();
    }

    private void accept(NetSocket socket) {
        Session session = new Session();
        session.connection = PeerConnection.attach(socket, traffic, session::received, session::closed);
    }

    /** One router's connection, nameless until it subscribes. */
    private final class Session {
        private PeerConnection connection;
        private String routerId;

        private void received(PeerMessage message) {
            if (message instanceof PeerMessage.Subscribe s) {
                subscribed(s.routerId());
            } else if (message instanceof PeerMessage.OrderRequest o) {
                order(o);
            } else if (routerId != null && message instanceof PeerMessage.ToAgent m) {
                handle(m);
            } else {
                LOG.warnf("peer message not expected router=%s message=%s", routerId, message);
                connection.close();
            }
        }

        private void subscribed(String id) {
            routerId = id;
            PeerConnection old = byRouter.put(id, connection);
            if (old != null && old != connection) {
                old.close();
            }
            connection.send(hello.get());
            LOG.infof("router subscribed router=%s", id);
        }

        private void handle(PeerMessage.ToAgent message) {
            switch (message) {
                case PeerMessage.Subscribe s -> subscribed(s.routerId());
                case PeerMessage.RoomRequest r ->
                    carryOut(rooms.preemptionRequested(
                            routerId, r.askId(), r.rank(), routerIds(), MonotonicClock.nowMs()));
                case PeerMessage.Yielded y ->
                    carryOut(rooms.answered(routerId, y.turnId(), y.made(), MonotonicClock.nowMs()));
                case PeerMessage.OrderRequest o -> order(o);
            }
        }

        /** Orders also come on connections that do not subscribe. */
        private void order(PeerMessage.OrderRequest o) {
            orders.submit(o.order())
                    .onSuccess(r -> connection.send(new PeerMessage.OrderReply(o.orderId(), r.status(), r.detail())));
        }

        private void closed() {
            if (routerId != null && byRouter.remove(routerId, connection)) {
                LOG.infof("router gone router=%s", routerId);
                carryOut(rooms.routerDisconnected(routerId, MonotonicClock.nowMs()));
            }
        }
    }

    private void carryOut(List<PreemptionStep> steps) {
        for (PreemptionStep step : steps) {
            PeerConnection to = byRouter.get(step.routerId());
            if (to != null) {
                to.send(
                        switch (step) {
                            case PreemptionStep.AskRouter a -> new PeerMessage.Yield(a.turnId(), a.rank());
                            case PreemptionStep.Answer a -> new PeerMessage.RoomReply(a.askId(), a.made());
                        });
            }
        }
        if (rooms.pendingCount() > 0 && roomTimer < 0) {
            roomTimer = vertx.setPeriodic(ROOM_TICK_MS, t -> roomTick());
        }
    }

    /** Runs only while a router waits for room. */
    private void roomTick() {
        carryOut(rooms.tick(MonotonicClock.nowMs()));
        if (rooms.pendingCount() == 0) {
            vertx.cancelTimer(roomTimer);
            roomTimer = -1;
        }
    }
}
