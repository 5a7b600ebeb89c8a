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
 * Sends an order to every target of a pool through the targets' agents. Only one order to a pool runs at
 * a time: its router holds the key {@code orders/POOL}, created by compare-and-swap under a lease. The
 * key's revision is the fencing token of the order, so agents reject the messages of a router that was
 * paused beyond the expiry of its lease. Runs on the router's control context.
 */
public final class OrderService {

    private static final Logger LOG = Logger.getLogger(OrderService.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long SINGLE_ORDER_ID = 1;

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

    /** Creates the service. An order, including the replies of all agents, must complete within {@code leaseMs}. */
    public static OrderService create(Vertx vertx, KvClient kv, String routerId, long leaseMs) {
        return new OrderService(vertx, kv, routerId, leaseMs);
    }

    private record OrderLease(long leaseId, long fencingToken) {}

    /** Sends an order to every target of a pool; fails with {@link OrderException} if it was sent to no target. */
    public Future<OrderOutcome> order(String pool, OrderKind kind, String argument) {
        return acquireLease(pool).compose(lease -> {
            Order order = new Order(kind, argument, lease.fencingToken());
            LOG.infof("order pool=%s kind=%s argument=%s token=%d", pool, kind, argument, lease.fencingToken());
            return kv.range(KvKeys.AGENTS + pool + "/")
                    .recover(e -> Future.failedFuture(OrderException.unavailable(pool, e)))
                    .compose(reply -> sendToTargets(reply.entries(), order))
                    .onComplete(r -> kv.revoke(lease.leaseId()));
        });
    }

    private Future<OrderLease> acquireLease(String pool) {
        String key = KvKeys.ORDERS + pool;
        byte[] owner = (routerId + " " + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
        return kv.grant(leaseMs)
                .recover(e -> Future.failedFuture(OrderException.unavailable(pool, e)))
                .compose(g -> kv.put(key, owner, KvMessage.ABSENT, g.leaseId())
                        .map(p -> new OrderLease(g.leaseId(), p.entries().get(0).modRevision()))
                        .recover(e -> {
                            kv.revoke(g.leaseId());
                            boolean leaseHeldElsewhere = e instanceof KvException k && k.status() == KvStatus.CONFLICT;
                            return Future.failedFuture(
                                    leaseHeldElsewhere
                                            ? OrderException.conflict(pool)
                                            : OrderException.unavailable(pool, e));
                        }));
    }

    private Future<OrderOutcome> sendToTargets(List<KvEntry> agents, Order order) {
        List<Future<OrderOutcome.TargetResult>> all = new ArrayList<>();
        for (KvEntry agent : agents) {
            String targetId = agent.key().substring(agent.key().lastIndexOf('/') + 1);
            all.add(sendToTarget(targetId, agent.text(), order));
        }
        return Future.join(all)
                .map(j -> new OrderOutcome(
                        order.fencingToken(), all.stream().map(Future::result).toList()));
    }

    /** Sends the order to one target on a separate connection. The returned future always succeeds. */
    private Future<OrderOutcome.TargetResult> sendToTarget(String targetId, String address, Order order) {
        Promise<OrderOutcome.TargetResult> result = Promise.promise();
        long timer = vertx.setTimer(
                leaseMs,
                t -> result.tryComplete(failed(targetId, "no reply from the agent; the order may have taken effect")));
        int colon = address.lastIndexOf(':');
        net.connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .onSuccess(socket -> send(socket, targetId, order, result))
                .onFailure(e -> result.tryComplete(failed(targetId, "cannot connect to the agent: " + e.getMessage())));
        return result.future().onComplete(r -> vertx.cancelTimer(timer));
    }

    private static void send(
            NetSocket socket, String targetId, Order order, Promise<OrderOutcome.TargetResult> result) {
        PeerConnection connection = PeerConnection.attach(
                socket,
                new PeerTraffic(),
                message -> {
                    if (message instanceof PeerMessage.OrderReply r) {
                        result.tryComplete(new OrderOutcome.TargetResult(targetId, r.status(), r.detail()));
                        socket.close();
                    }
                },
                () -> result.tryComplete(
                        failed(targetId, "agent closed the connection; the order may have taken effect")));
        connection.send(new PeerMessage.OrderRequest(SINGLE_ORDER_ID, order));
    }

    private static OrderOutcome.TargetResult failed(String targetId, String detail) {
        return new OrderOutcome.TargetResult(targetId, OrderStatus.FAILED, detail);
    }
}
