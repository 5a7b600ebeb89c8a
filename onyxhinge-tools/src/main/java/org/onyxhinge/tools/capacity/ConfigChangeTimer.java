package org.onyxhinge.tools.capacity;

import java.util.List;
import java.util.function.ToLongFunction;

import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;
import org.onyxhinge.api.v1.PutReply;
import org.onyxhinge.api.v1.WorkspaceSpec;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.runtime.Launch;

/**
 * Measures the propagation time of configuration changes: from sending a change until every router reports
 * its revision. The time spent polling the routers is included, so the result is an upper bound.
 */
final class ConfigChangeTimer {

    private static final long CALL_TIMEOUT_MS = 20_000;
    private static final long MAX_TIME_MS = 60_000;
    private static final int NS_PER_MS = 1_000_000;

    private ConfigChangeTimer() {}

    /** Applies {@code changes} changes through the router at {@code adminPort} and returns the times in ms. */
    static Histogram measure(
            Vertx vertx, int adminPort, int changes, List<Integer> routerPorts, ToLongFunction<Integer> readRevision) {
        Histogram times = new Histogram(MAX_TIME_MS, 3);
        try (AdminClient admin = AdminClient.create(vertx, "127.0.0.1", adminPort)) {
            for (int i = 0; i < changes; i++) {
                WorkspaceSpec spec = WorkspaceSpec.newBuilder()
                        .setName("measured")
                        .setMaxInFlight(1 + i)
                        .build();
                long startNs = System.nanoTime();
                PutReply reply = Launch.await(admin.put(spec, i), CALL_TIMEOUT_MS);
                for (int port : routerPorts) {
                    awaitRevision(port, reply.getRevision(), readRevision);
                }
                times.recordValue(Math.min(MAX_TIME_MS, (System.nanoTime() - startNs) / NS_PER_MS));
            }
        }
        return times;
    }

    private static void awaitRevision(int port, long expected, ToLongFunction<Integer> readRevision) {
        long deadlineNs = System.nanoTime() + MAX_TIME_MS * NS_PER_MS;
        while (readRevision.applyAsLong(port) < expected) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("router at port " + port + " did not apply revision " + expected);
            }
        }
    }
}
