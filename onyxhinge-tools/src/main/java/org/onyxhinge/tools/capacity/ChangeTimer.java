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
 * Times how long an accepted configuration change takes to be in force on every router: from sending it
 * to the first look at which every router shows its revision. The looks themselves are included, so the
 * figure is an upper bound.
 */
final class ChangeTimer {

    private static final long CALL_MS = 20_000;
    private static final long HIGHEST_MS = 60_000;
    private static final int NS_PER_MS = 1_000_000;

    private ChangeTimer() {}

    /** Makes {@code changes} changes through the router at {@code adminPort}; answers the times in ms. */
    static Histogram time(
            Vertx vertx, int adminPort, int changes, List<Integer> routerPorts, ToLongFunction<Integer> revision) {
        Histogram times = new Histogram(HIGHEST_MS, 3);
        try (AdminClient admin = AdminClient.create(vertx, "127.0.0.1", adminPort)) {
            for (int i = 0; i < changes; i++) {
                WorkspaceSpec spec = WorkspaceSpec.newBuilder()
                        .setName("measured")
                        .setMaxInFlight(1 + i)
                        .build();
                long startNs = System.nanoTime();
                PutReply reply = Launch.await(admin.put(spec, i), CALL_MS);
                for (int port : routerPorts) {
                    awaitRevision(port, reply.getRevision(), revision);
                }
                times.recordValue(Math.min(HIGHEST_MS, (System.nanoTime() - startNs) / NS_PER_MS));
            }
        }
        return times;
    }

    private static void awaitRevision(int port, long wanted, ToLongFunction<Integer> revision) {
        long untilNs = System.nanoTime() + HIGHEST_MS * NS_PER_MS;
        while (revision.applyAsLong(port) < wanted) {
            if (System.nanoTime() > untilNs) {
                throw new IllegalStateException("router at port " + port + " did not take revision " + wanted);
            }
        }
    }
}
