package org.onyxhinge.router.order;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;
import org.onyxhinge.core.order.Order;
import org.onyxhinge.core.order.OrderKind;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvException;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStatus;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * Gives an order to every target of a pool, through the agents beside them. One order to a pool runs
 * at a time: its router holds the key {@code orders/POOL}, created by compare-and-swap under a lease.
 * The key's revision is the order's fencing token, so a router that was paused past its lease and
 * sends on is refused by the agents. Runs on the router's control context.
 */
public final class OrderService {

    private static final Logger LOG = Logger.getLogger(OrderService.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long ORDER_ID = 1;

    private final Vertx vertx;
    private final KvClient kv;
    private final NetClient net;
    private final String routerId;
    private final long leaseMs;

    private OrderService(Vertx vertx, KvClient kv, String routerId, long leaseMs) {
        this.vertx = vertx;
        this.kv = kv;
        this.net = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
        this.routerId = routerId;
        this.leaseMs = leaseMs;
    }

    /** Creates the service; an order and its answers must fit into {@code leaseMs}. */
    public static OrderService create(Vertx vertx, KvClient kv, String routerId, long leaseMs) {
        return new OrderService(vertx, kv, routerId, leaseMs);
    }

    private record Holding(long leaseId, long fencingToken) {}

    /** Orders every target of the pool; fails with {@link OrderException} when none was ordered. */
    public Future<OrderOutcome> order(String pool, OrderKind kind, String argument) {
        return hold(pool).compose(held -> {
            Order order = new Order(kind, argument, held.fencingToken());
            LOG.infof("order pool=%s kind=%s argument=%s token=%d", pool, kind, argument, held.fencingToken());
            return kv.range(KvKeys.AGENTS + pool + "/")
                    .recover(e -> Future.failedFuture(OrderException.unavailable(pool, e)))
                    .compose(reply -> orderAll(reply.entries(), order))
                    .onComplete(r -> kv.revoke(held.leaseId()));
        });
    }

    private Future<Holding> hold(String pool) {
        String key = KvKeys.ORDERS + pool;
        byte[] owner = (routerId + " " + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
        return kv.grant(leaseMs)
                .recover(e -> Future.failedFuture(OrderException.unavailable(pool, e)))
                .compose(g -> kv.put(key, owner, KvMessage.ABSENT, g.leaseId())
                        .map(p -> new Holding(g.leaseId(), p.entries().get(0).modRevision()))
                        .recover(e -> {
                            kv.revoke(g.leaseId());
                            boolean taken = e instanceof KvException k && k.status() == KvStatus.CONFLICT;
                            return Future.failedFuture(
                                    taken ? OrderException.conflict(pool) : OrderException.unavailable(pool, e));
                        }));
    }

    private Future<OrderOutcome> orderAll(List<KvEntry> agents, Order order) {
        List<Future<OrderOutcome.TargetResult>> all = new ArrayList<>();
        for (KvEntry agent : agents) {
            String targetId = agent.key().substring(agent.key().lastIndexOf('/') + 1);
            all.add(orderOne(targetId, agent.text(), order));
        }
        return Future.join(all)
                .map(j -> new OrderOutcome(
                        order.fencingToken(), all.stream().map(Future::result).toList()));
    }

    /** Sends the order on a connection of its own; the future always succeeds. */
    private Future<OrderOutcome.TargetResult> orderOne(String targetId, String address, Order order) {
        Promise<OrderOutcome.TargetResult> done = Promise.promise();
        long timer = vertx.setTimer(
                leaseMs, t -> done.tryComplete(failed(targetId, "no answer from the agent; it may have taken effect")));
        int colon = address.lastIndexOf(':');
        net.connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .onSuccess(socket -> send(socket, targetId, order, done))
                .onFailure(e -> done.tryComplete(failed(targetId, "agent not reached: " + e.getMessage())));
        return done.future().onComplete(r -> vertx.cancelTimer(timer));
    }

    private static void send(NetSocket socket, String targetId, Order order, Promise<OrderOutcome.TargetResult> done) {
        PeerConnection connection = PeerConnection.attach(
                socket,
                new PeerTraffic(),
                message -> {
                    if (message instanceof PeerMessage.OrderReply r) {
                        done.tryComplete(new OrderOutcome.TargetResult(targetId, r.status(), r.detail()));
                        socket.close();
                    }
                },
                () -> done.tryComplete(failed(targetId, "agent closed the connection; it may have taken effect")));
        connection.send(new PeerMessage.OrderRequest(ORDER_ID, order));
    }

    private static OrderOutcome.TargetResult failed(String targetId, String detail) {
        return new OrderOutcome.TargetResult(targetId, OrderStatus.FAILED, detail);
    }
}
