package org.onyxhinge.router.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.Vertx;
import org.onyxhinge.api.v1.OrderPoolReply;
import org.onyxhinge.core.order.OrderKind;
import org.onyxhinge.core.order.OrderStatus;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.runtime.Launch;

/** {@code admin order}: sends an order to every target of a pool; fails unless it succeeds on all of them. */
@Command(name = "order", description = "Order a pool's targets to load a model, adapter or version, or change role")
public final class AdminOrderCommand implements Runnable {

    private static final long TIMEOUT_MS = 120_000;

    @Option(
            name = "--admin",
            title = "HOST:PORT",
            description = "address of a router's admin port (default 127.0.0.1:8081)")
    private String admin = "127.0.0.1:8081";

    @Required
    @Option(name = "--pool", title = "POOL", description = "name of the pool")
    private String pool;

    @Required
    @Option(name = "--kind", title = "KIND", description = "load-model, load-adapter, set-version or set-role")
    private String kind;

    @Required
    @Option(name = "--argument", title = "NAME", description = "name of the model, adapter, version or role")
    private String argument;

    @Override
    public void run() {
        AdminAddress address = AdminAddress.parse(admin);
        OrderKind order = OrderKind.ofLabel(kind).orElse(null);
        if (order == null) {
            Launch.fail(Launch.EXIT_USAGE, "--kind must be load-model, load-adapter, set-version or set-role");
            return;
        }
        Vertx vertx = Vertx.vertx();
        try (AdminClient client = AdminClient.create(vertx, address.host(), address.port())) {
            report(Launch.await(client.order(pool, order, argument), TIMEOUT_MS));
        } catch (IllegalStateException e) {
            Launch.fail(Launch.EXIT_FAILURE, "order failed: " + e.getMessage());
        } finally {
            vertx.close();
        }
    }

    private static void report(OrderPoolReply reply) {
        reply.getResultsList()
                .forEach(r -> System.out.printf("%s %s %s%n", r.getTargetId(), r.getStatus(), r.getDetail()));
        boolean allDone =
                reply.getResultsList().stream().allMatch(r -> r.getStatus().equals(OrderStatus.DONE.name()));
        if (!allDone) {
            Launch.fail(Launch.EXIT_FAILURE, "the order did not succeed on every target");
        }
    }
}
