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
 * Measures on one router the heap retained by a request in flight and the CPU time per request and per token,
 * from batches of requests with two output lengths.
 */
final class TrafficCost {

    private static final long CALL_TIMEOUT_MS = 20_000;
    private static final long BATCH_TIMEOUT_MS = 120_000;
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

    /** Creates the tier, workspace, pool and service used by the requests. */
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
            Launch.await(admin.apply(setup), CALL_TIMEOUT_MS);
        }
    }

    /** Runs the batches and prints the results; the first batch of each length is a warm-up. */
    void measure() throws InterruptedException {
        measureCpuMs(SHORT_TOKENS);
        measureCpuMs(LONG_TOKENS);
        double shortMs = measureCpuMs(SHORT_TOKENS);
        double longMs = measureCpuMs(LONG_TOKENS);
        double tokenUs = (longMs - shortMs) * US_PER_MS / requests / (LONG_TOKENS - SHORT_TOKENS);
        double requestUs = shortMs * US_PER_MS / requests - SHORT_TOKENS * tokenUs;
        System.out.printf(
                "router CPU: %.0f us per request and %.1f us per token (batches of %d requests of %d and %d tokens)%n",
                requestUs, tokenUs, requests, SHORT_TOKENS, LONG_TOKENS);
        System.out.printf(
                "router heap: %.1f KB per request in flight (%d in flight)%n", measureHeapKbPerRequest(), requests);
    }

    private double measureCpuMs(int tokens) {
        long before = usage().getLong("cpuMs");
        awaitAll(sendBatch(tokens));
        return usage().getLong("cpuMs") - before;
    }

    private double measureHeapKbPerRequest() throws InterruptedException {
        collectGarbage.run();
        long before = usage().getLong("heapBytes");
        List<Future<Outcome>> sent = sendBatch(LONG_TOKENS);
        while (state.get().getJsonObject("flights").stream()
                        .mapToInt(e -> (Integer) e.getValue())
                        .sum()
                < requests) {
            Thread.sleep(20);
        }
        collectGarbage.run();
        long after = usage().getLong("heapBytes");
        awaitAll(sent);
        return (after - before) / BYTES_PER_KB / requests;
    }

    private JsonObject usage() {
        return state.get().getJsonObject("usage");
    }

    private List<Future<Outcome>> sendBatch(int tokens) {
        List<Future<Outcome>> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.add(driver.send(
                    new WorkItem(i, "traffic", "measured", "measured", "brief", 50, 50, tokens, "", false)));
        }
        return sent;
    }

    private static void awaitAll(List<Future<Outcome>> sent) {
        for (Future<Outcome> f : sent) {
            Outcome o = Launch.await(f, BATCH_TIMEOUT_MS);
            if (!o.complete()) {
                throw new IllegalStateException("request in batch failed: " + o.errorType());
            }
        }
    }
}
