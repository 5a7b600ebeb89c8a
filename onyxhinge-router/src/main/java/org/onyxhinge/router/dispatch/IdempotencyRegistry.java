package org.onyxhinge.router.dispatch;

import java.nio.charset.StandardCharsets;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvException;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStatus;

/**
 * Records each non-idempotent request in the key-value service before it is dispatched, so that it runs
 * at most once across all routers. The key {@code once/WORKSPACE/IDEMPOTENCY_KEY} is created by
 * compare-and-swap and holds the request id; a second request with the same key is refused. If the reply
 * to the create is lost, the key is read back, and the claim is valid only if the key holds this
 * request's id. The claim of a request that has not run is released, with retries until the service
 * confirms it, because the caller has been told that it may send the request again.
 *
 * <p>Claims are attached to leases that last for the idempotency window. The registry obtains a new lease
 * every quarter of the window, so a claim expires after between three quarters of the window and the
 * full window.
 */
public final class IdempotencyRegistry {

    private static final Logger LOG = Logger.getLogger(IdempotencyRegistry.class);
    private static final int LEASES_PER_WINDOW = 4;
    private static final long RELEASE_RETRY_MS = 500;
    private static final int RELEASE_ATTEMPTS = 1_200;
    private static final long STORE_RETRY_AFTER_MS = 1_000;

    private final Vertx vertx;
    private final KvClient kv;
    private final long windowMs;
    private Future<Long> lease;
    private long leaseRenewAtMs;

    private IdempotencyRegistry(Vertx vertx, KvClient kv, long windowMs) {
        this.vertx = vertx;
        this.kv = kv;
        this.windowMs = windowMs;
    }

    /** Creates a registry on top of a key-value client; all methods must be called on that client's context. */
    public static IdempotencyRegistry create(Vertx vertx, KvClient kv, long windowMs) {
        return new IdempotencyRegistry(vertx, kv, windowMs);
    }

    /**
     * A claim of an idempotency key.
     *
     * @param key key of the claim in the key-value service
     * @param requestId id of the request that holds the claim
     */
    public record Claim(String key, String requestId) {}

    /** Claims the idempotency key of a request; fails with {@link RefusedException}. */
    public Future<Claim> claim(RequestSpec spec) {
        Claim claim = new Claim(KvKeys.ONCE + spec.workspace() + "/" + spec.idempotencyKey(), spec.requestId());
        byte[] owner = spec.requestId().getBytes(StandardCharsets.UTF_8);
        return currentLease()
                .compose(
                        leaseId -> kv.put(claim.key(), owner, KvMessage.ABSENT, leaseId)
                                .map(claim)
                                .recover(e -> resolveFailedClaim(claim, e)),
                        e -> Future.failedFuture(storeUnavailable()));
    }

    /**
     * Releases the claim of a request that has not run. Retries until the service confirms the release, up
     * to a limit.
     */
    public void release(Claim claim) {
        release(claim, 1);
    }

    private void release(Claim claim, int attempt) {
        kv.get(claim.key())
                .compose(reply ->
                        reply.entries().isEmpty() || !isHeldBy(reply.entries().get(0), claim)
                                ? Future.succeededFuture()
                                : kv.delete(claim.key(), reply.entries().get(0).version()))
                .onFailure(e -> {
                    if (attempt < RELEASE_ATTEMPTS) {
                        vertx.setTimer(RELEASE_RETRY_MS, t -> release(claim, attempt + 1));
                    } else {
                        LOG.warnf("idempotency claim not released key=%s request=%s", claim.key(), claim.requestId());
                    }
                });
    }

    private Future<Claim> resolveFailedClaim(Claim claim, Throwable e) {
        if (e instanceof KvException conflict && conflict.status() == KvStatus.CONFLICT) {
            return Future.failedFuture(new RefusedException(Refusal.of(
                    RefusalReason.ALREADY_RUN,
                    "a request with this idempotency key was accepted before and may have run",
                    0)));
        }
        if (e instanceof KvException leaseLost && leaseLost.status() == KvStatus.NOT_FOUND) {
            lease = null;
            return Future.failedFuture(storeUnavailable());
        }
        return kv.get(claim.key())
                .compose(
                        reply -> !reply.entries().isEmpty()
                                        && isHeldBy(reply.entries().get(0), claim)
                                ? Future.succeededFuture(claim)
                                : releaseUnconfirmed(claim),
                        readError -> releaseUnconfirmed(claim));
    }

    /**
     * Refuses a request for which it is unknown whether the claim was written, and releases the claim in
     * case it was.
     */
    private Future<Claim> releaseUnconfirmed(Claim claim) {
        vertx.setTimer(RELEASE_RETRY_MS, t -> release(claim));
        return Future.failedFuture(storeUnavailable());
    }

    private Future<Long> currentLease() {
        long nowMs = MonotonicClock.nowMs();
        if (lease == null || lease.failed() || nowMs >= leaseRenewAtMs) {
            leaseRenewAtMs = nowMs + windowMs / LEASES_PER_WINDOW;
            lease = kv.grant(windowMs).map(KvMessage.Reply::leaseId);
        }
        return lease;
    }

    private static boolean isHeldBy(KvEntry entry, Claim claim) {
        return entry.text().equals(claim.requestId());
    }

    private static RefusedException storeUnavailable() {
        return new RefusedException(Refusal.of(
                RefusalReason.STORE_UNAVAILABLE,
                "could not record the request before running it; not run",
                STORE_RETRY_AFTER_MS));
    }
}
