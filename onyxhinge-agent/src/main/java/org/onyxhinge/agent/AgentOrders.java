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
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvKeys;

/**
 * Carries out orders on the target, one after the other, and only of the holder of the pool's order
 * lease. The lease key is read before each order: its revision is the newest fencing token, so an
 * order of a holder that was paused past its lease is refused here even when the target would take
 * it, and also right after this agent was restarted and remembers nothing. The token goes to the
 * target too, for targets that check it themselves. Runs on the agent's control context.
 */
final class AgentOrders {

    private static final Logger LOG = Logger.getLogger(AgentOrders.class);
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;

    private final KvClient kv;
    private final HttpClient target;
    private final AgentSettings settings;
    private final FencingGate gate = FencingGate.create();
    private Future<Result> last = Future.succeededFuture();

    /**
     * What became of an order.
     *
     * @param status outcome
     * @param detail why, for operators
     */
    record Result(OrderStatus status, String detail) {}

    AgentOrders(KvClient kv, HttpClient target, AgentSettings settings) {
        this.kv = kv;
        this.target = target;
        this.settings = settings;
    }

    /** The newest fencing token seen. */
    long highestToken() {
        return gate.highestToken();
    }

    /** Queues an order behind those before it; the future always succeeds. */
    Future<Result> submit(Order order) {
        last = last.transform(before -> carryOut(order))
                .otherwise(e -> new Result(OrderStatus.FAILED, String.valueOf(e.getMessage())));
        return last;
    }

    private Future<Result> carryOut(Order order) {
        return kv.get(KvKeys.ORDERS + settings.pool())
                .compose(
                        reply -> {
                            long holder = reply.entries().isEmpty()
                                    ? 0
                                    : reply.entries().get(0).modRevision();
                            gate.observe(holder);
                            return holder == order.fencingToken() && gate.admit(order.fencingToken())
                                    ? send(order)
                                    : fenced(order, holder);
                        },
                        e -> Future.succeededFuture(new Result(OrderStatus.UNAVAILABLE, e.getMessage())));
    }

    private Future<Result> fenced(Order order, long holder) {
        LOG.warnf("order fenced kind=%s token=%d holder=%d", order.kind(), order.fencingToken(), holder);
        String detail = holder == 0
                ? "the order lease has lapsed"
                : "a newer holder has token " + holder + ", this order " + order.fencingToken();
        return Future.succeededFuture(new Result(OrderStatus.FENCED, detail));
    }

    private Future<Result> send(Order order) {
        JsonObject body = new JsonObject()
                .put("kind", order.kind().label())
                .put("argument", order.argument())
                .put("fencingToken", order.fencingToken());
        return target.request(HttpMethod.POST, settings.targetPort(), settings.targetHost(), "/admin/order")
                .compose(req -> req.send(body.toBuffer()))
                .compose(resp -> resp.body().map(text -> result(resp, text.toString())))
                .otherwise(e ->
                        new Result(OrderStatus.FAILED, "target: " + e.getMessage() + "; it may have taken effect"));
    }

    private static Result result(HttpClientResponse resp, String text) {
        return switch (resp.statusCode()) {
            case HTTP_OK -> new Result(OrderStatus.DONE, "");
            case HTTP_CONFLICT -> new Result(OrderStatus.FENCED, text.trim());
            default -> new Result(OrderStatus.FAILED, "target answered " + resp.statusCode() + ": " + text.trim());
        };
    }
}
