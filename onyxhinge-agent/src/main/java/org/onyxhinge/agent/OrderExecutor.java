package org.onyxhinge.agent;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.order.FencingGate;
import org.onyxhinge.core.order.Order;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.wire.http.BoundedBody;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvKeys;

/**
 * Executes orders on the target sequentially, and only orders from the holder of the pool's order lease.
 * The lease key is read before each order, and its revision is the newest fencing token. An order from a
 * router that was paused beyond the expiry of its lease is therefore rejected here, even if the target
 * would accept it and even if this agent has just restarted without any state. The token is also sent to
 * the target, for targets that check it themselves. Runs on the agent's control context.
 */
final class OrderExecutor {

    private static final Logger LOG = Logger.getLogger(OrderExecutor.class);
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;
    private static final int MAX_REPLY_BYTES = 64 << 10;

    private final KvClient kv;
    private final HttpClient target;
    private final AgentSettings settings;
    private final FencingGate fencingGate = FencingGate.create();
    private Future<Result> lastOrder = Future.succeededFuture();

    /**
     * The outcome of an order.
     *
     * @param status status of the order
     * @param detail explanation for operators
     */
    record Result(OrderStatus status, String detail) {}

    OrderExecutor(KvClient kv, HttpClient target, AgentSettings settings) {
        this.kv = kv;
        this.target = target;
        this.settings = settings;
    }

    /** Returns the highest fencing token seen so far. */
    long highestToken() {
        return fencingGate.highestToken();
    }

    /** Queues an order for execution after all earlier orders. The returned future always succeeds. */
    Future<Result> submit(Order order) {
        lastOrder = lastOrder
                .transform(previous -> execute(order))
                .otherwise(e -> new Result(OrderStatus.FAILED, String.valueOf(e.getMessage())));
        return lastOrder;
    }

    private Future<Result> execute(Order order) {
        return kv.get(KvKeys.ORDERS + settings.pool())
                .compose(
                        reply -> {
                            long holder = reply.entries().isEmpty()
                                    ? 0
                                    : reply.entries().get(0).modRevision();
                            fencingGate.observe(holder);
                            return holder == order.fencingToken() && fencingGate.admit(order.fencingToken())
                                    ? send(order)
                                    : rejectFenced(order, holder);
                        },
                        e -> Future.succeededFuture(new Result(OrderStatus.UNAVAILABLE, e.getMessage())));
    }

    private Future<Result> rejectFenced(Order order, long holder) {
        LOG.warnf("order fenced kind=%s token=%d holder=%d", order.kind(), order.fencingToken(), holder);
        String detail = holder == 0
                ? "the order lease has expired"
                : "the current holder has token " + holder + ", this order has token " + order.fencingToken();
        return Future.succeededFuture(new Result(OrderStatus.FENCED, detail));
    }

    private Future<Result> send(Order order) {
        JsonObject body = new JsonObject()
                .put("kind", order.kind().label())
                .put("argument", order.argument())
                .put("fencingToken", order.fencingToken());
        return target.request(HttpMethod.POST, settings.targetPort(), settings.targetHost(), "/admin/order")
                .compose(req -> req.send(body.toBuffer()))
                .compose(resp -> BoundedBody.read(resp, MAX_REPLY_BYTES).map(text -> result(resp, text.toString())))
                .otherwise(e -> new Result(
                        OrderStatus.FAILED,
                        "target request failed: " + e.getMessage() + "; the order may have taken effect"));
    }

    private static Result result(HttpClientResponse resp, String text) {
        return switch (resp.statusCode()) {
            case HTTP_OK -> new Result(OrderStatus.DONE, "");
            case HTTP_CONFLICT -> new Result(OrderStatus.FENCED, text.trim());
            default -> new Result(OrderStatus.FAILED, "target answered " + resp.statusCode() + ": " + text.trim());
        };
    }
}
