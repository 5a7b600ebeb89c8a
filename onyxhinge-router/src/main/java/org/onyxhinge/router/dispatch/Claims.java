package org.onyxhinge.router.dispatch;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;

/**
 * The claims this router holds for its non-idempotent requests in progress. Runs on the router's
 * control context.
 */
public final class Claims {

    private static final long STORE_RETRY_MS = 1_000;

    private final Vertx vertx;
    private final OnceRegistry once;
    private final Map<String, OnceRegistry.Claim> byRequest = new HashMap<>();

    private Claims(Vertx vertx, OnceRegistry once) {
        this.vertx = vertx;
        this.once = once;
    }

    /** Creates the holder over a registry. */
    public static Claims create(Vertx vertx, OnceRegistry once) {
        return new Claims(vertx, once);
    }

    /**
     * Records a request before it may run. Fails with {@link RefusedException} as soon as that takes
     * longer than {@code leftMs}; a claim that turns out to hold after all is given back.
     */
    public Future<Void> take(RequestSpec spec, long leftMs) {
        Promise<Void> taken = Promise.promise();
        long timer = vertx.setTimer(Math.max(1, leftMs), t -> taken.tryFail(tooLate()));
        once.claim(spec).onComplete(result -> {
            vertx.cancelTimer(timer);
            if (result.failed()) {
                taken.tryFail(result.cause());
            } else if (taken.tryComplete()) {
                byRequest.put(spec.requestId(), result.result());
            } else {
                once.release(result.result());
            }
        });
        return taken.future();
    }

    /** A request ended: its claim stays in the store when any of it was sent, else it is given back. */
    public void ended(String requestId, boolean sent) {
        OnceRegistry.Claim claim = byRequest.remove(requestId);
        if (claim != null && !sent) {
            once.release(claim);
        }
    }

    private static RefusedException tooLate() {
        return new RefusedException(Refusal.of(
                RefusalReason.STORE_UNAVAILABLE,
                "the store did not confirm the request within its tier's budget; not run",
                STORE_RETRY_MS));
    }
}
