package org.onyxhinge.router.forward;

import java.util.function.IntSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.MonotonicClock;

/**
 * A router's graceful shutdown. Calls are accepted until the load balancer has redirected callers, every response
 * closes its connection, and calls in progress may use the rest of the grace period. Readable from any thread.
 */
final class GracefulShutdown {

    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class);

    /** Load balancers probe about once a second and remove a router after two failures. */
    private static final long ACCEPT_CALLS_MS = 2_500;

    /** Part of the grace period reserved for the process itself to exit. */
    private static final long EXIT_MARGIN_MS = 500;

    /** A call that is sent later than this before the end would probably be cut off. */
    private static final long MIN_RUN_MS = 2_000;

    private static final long CHECK_INTERVAL_MS = 100;

    private final long graceMs;
    private volatile boolean started;
    private volatile long startedAtMs;

    GracefulShutdown(long graceMs) {
        this.graceMs = graceMs;
    }

    /** True once a shutdown has been requested. */
    boolean started() {
        return started;
    }

    /** True once no more calls are accepted. */
    boolean refusesCalls() {
        return started && ageMs() > ACCEPT_CALLS_MS;
    }

    private long ageMs() {
        return MonotonicClock.nowMs() - startedAtMs;
    }

    /**
     * Runs the shutdown; must be called on the context that owns the calls.
     *
     * @param reads the barrier of that context
     * @param inProgress number of calls in progress
     * @param refuseUnsent refuses the calls that have not been sent to a target
     * @param abortRemaining ends the calls for which no time is left
     * @return completes when no calls or connections remain, or the grace period is over
     */
    Future<Void> run(
            Vertx vertx,
            ReadBarrier reads,
            CallerConnections callers,
            IntSupplier inProgress,
            Runnable refuseUnsent,
            Runnable abortRemaining) {
        Promise<Void> done = Promise.promise();
        vertx.setPeriodic(
                CHECK_INTERVAL_MS,
                t -> reads.afterRead(() -> {
                    if (ageMs() > Math.max(ACCEPT_CALLS_MS, graceMs - EXIT_MARGIN_MS - MIN_RUN_MS)) {
                        refuseUnsent.run();
                    }
                    if (hasEnded(callers, inProgress) && done.tryComplete()) {
                        vertx.cancelTimer(t);
                        LOG.infof("draining ended tookMs=%d cutOff=%d", ageMs(), inProgress.getAsInt());
                        abortRemaining.run();
                    }
                }));
        return done.future();
    }

    private boolean hasEnded(CallerConnections callers, IntSupplier inProgress) {
        if (refusesCalls()) {
            callers.closeIdle();
        }
        boolean idle = inProgress.getAsInt() == 0 && callers.openCount() == 0;
        return refusesCalls() && idle || ageMs() > graceMs - EXIT_MARGIN_MS;
    }

    /** Marks the shutdown as requested. */
    void markRequested() {
        startedAtMs = MonotonicClock.nowMs();
        started = true;
        LOG.infof("draining started graceMs=%d", graceMs);
    }
}
