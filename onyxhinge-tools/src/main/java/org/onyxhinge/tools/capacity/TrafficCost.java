package org.onyxhinge.tools.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import com.google.protobuf.Message;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.api.v1.PoolSpec;
import org.onyxhinge.api.v1.ServiceKind;
import org.onyxhinge.api.v1.ServiceSpec;
import org.onyxhinge.api.v1.TierSpec;
import org.onyxhinge.api.v1.WorkspaceSpec;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.tools.load.Driver;
import org.onyxhinge.tools.load.Outcome;
import org.onyxhinge.tools.load.WorkItem;

/**
 * Measures on one router what a request in flight keeps on the heap, and what a request and a token
 * cost in processor time, from batches of requests of two lengths.
 */
final class TrafficCost {

    private static final long CALL_MS = 20_000;
    private static final long BATCH_MS = 120_000;
    private static final int SHORT_TOKENS = 10;
    private static final int LONG_TOKENS = 110;
    private static final int BUDGET_MS = 100_000;
    private static final int US_PER_MS = 1_000;
    private static final double BYTES_PER_KB = 1_024.0;

    private final Driver driver;
    private final Supplier<JsonObject> state;
    private final Runnable collectGarbage;
    private final int requests;

    TrafficCost(Driver driver, Supplier<JsonObject> state, Runnable collectGarbage, int requests) {
        this.driver = driver;
        this.state = state;
        this.collectGarbage = collectGarbage;
        this.requests = requests;
    }

    /** Configures the tier, workspace, pool and service the requests name. */
    static void configure(Vertx vertx, int adminPort, String pool) {
        List<Message> setup = List.of(
                PoolSpec.newBuilder().setName(pool).setModel("measured").build(),
                TierSpec.newBuilder()
                        .setName("measured")
                        .setFirstTokenBudgetMs(BUDGET_MS)
                        .setBetweenTokenBudgetMs(BUDGET_MS)
                        .setDeadlineMs(BUDGET_MS)
                        .build(),
                WorkspaceSpec.newBuilder()
                        .setName("traffic")
                        .setMaxInFlight(Integer.MAX_VALUE)
                        .build(),
                ServiceSpec.newBuilder()
                        .setName("measured")
                        .setKind(ServiceKind.MODEL)
                        .setPool(pool)
                        .build());
        try (AdminClient admin = AdminClient.create(vertx, "127.0.0.1", adminPort)) {
            Launch.await(admin.apply(setup), CALL_MS);
        }
    }

    /** Runs the batches and prints the figures. */
    void measure() throws InterruptedException {
        cpuOf(SHORT_TOKENS);
        cpuOf(LONG_TOKENS);
        double shortMs = cpuOf(SHORT_TOKENS);
        double longMs = cpuOf(LONG_TOKENS);
        double tokenUs = (longMs - shortMs) * US_PER_MS / requests / (LONG_TOKENS - SHORT_TOKENS);
        double requestUs = shortMs * US_PER_MS / requests - SHORT_TOKENS * tokenUs;
        System.out.printf(
                "router cpu: %.0f us a request and %.1f us a token (batches of %d requests of %d and %d tokens)%n",
                requestUs, tokenUs, requests, SHORT_TOKENS, LONG_TOKENS);
        System.out.printf("router heap: %.1f KB a request in flight (%d at once)%n", heapKbInFlight(), requests);
    }

    private double cpuOf(int tokens) {
        long before = usage().getLong("cpuMs");
        all(send(tokens));
        return usage().getLong("cpuMs") - before;
    }

    private double heapKbInFlight() throws InterruptedException {
        collectGarbage.run();
        long before = usage().getLong("heapBytes");
        List<Future<Outcome>> sent = send(LONG_TOKENS);
        while (state.get().getJsonObject("flights").stream()
                        .mapToInt(e -> (Integer) e.getValue())
                        .sum()
                < requests) {
            Thread.sleep(20);
        }
        collectGarbage.run();
        long after = usage().getLong("heapBytes");
        all(sent);
        return (after - before) / BYTES_PER_KB / requests;
    }

    private JsonObject usage() {
        return state.get().getJsonObject("usage");
    }

    private List<Future<Outcome>> send(int tokens) {
        List<Future<Outcome>> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.add(driver.send(
                    new WorkItem(i, "traffic", "measured", "measured", "brief", 50, 50, tokens, "", false)));
        }
        return sent;
    }

    private static void all(List<Future<Outcome>> sent) {
        for (Future<Outcome> f : sent) {
            Outcome o = Launch.await(f, BATCH_MS);
            if (!o.complete()) {
                throw new IllegalStateException("a request of the batch failed: " + o.errorType());
            }
        }
    }
}
