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
 * Tracks the idempotency keys claimed for the non-idempotent requests in progress on this router. Runs
 * on the router's control context.
 */
public final class IdempotencyClaims {

    private static final long STORE_RETRY_AFTER_MS = 1_000;

    private final Vertx vertx;
    private final IdempotencyRegistry registry;
    private final Map<String, IdempotencyRegistry.Claim> claimsByRequest = new HashMap<>();

    private IdempotencyClaims(Vertx vertx, IdempotencyRegistry registry) {
        this.vertx = vertx;
        this.registry = registry;
    }

    /** Creates an empty set of claims on top of a registry. */
    public static IdempotencyClaims create(Vertx vertx, IdempotencyRegistry registry) {
        return new IdempotencyClaims(vertx, registry);
    }

    /**
     * Claims the idempotency key of a request, which must complete before the request may run. Fails with
     * {@link RefusedException} after {@code timeoutMs}; a claim that is granted later is released.
     */
    public Future<Void> acquire(RequestSpec spec, long timeoutMs) {
        Promise<Void> acquired = Promise.promise();
        long timer = vertx.setTimer(Math.max(1, timeoutMs), t -> acquired.tryFail(claimTimedOut()));
        registry.claim(spec).onComplete(result -> {
            vertx.cancelTimer(timer);
            if (result.failed()) {
                acquired.tryFail(result.cause());
            } else if (acquired.tryComplete()) {
                claimsByRequest.put(spec.requestId(), result.result());
            } else {
                registry.release(result.result());
            }
        });
        return acquired.future();
    }

    /**
     * Handles the end of a request: its claim stays in the store if any part of the request was sent to a
     * target, and is released otherwise.
     */
    public void requestEnded(String requestId, boolean sent) {
        IdempotencyRegistry.Claim claim = claimsByRequest.remove(requestId);
        if (claim != null && !sent) {
            registry.release(claim);
        }
    }

    private static RefusedException claimTimedOut() {
        return new RefusedException(Refusal.of(
                RefusalReason.STORE_UNAVAILABLE,
                "the store did not confirm the request within its tier's budget; not run",
                STORE_RETRY_AFTER_MS));
    }
}
