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
 * Records each non-idempotent request in the key-value service before it is dispatched, so it runs
 * at most once across all routers: the key {@code once/WORKSPACE/IDEMPOTENCY_KEY} is created with
 * compare-and-swap and holds the request id. A second request with the same key is refused as already
 * accepted. When the reply to the create is lost, the key is read back: the claim holds only if it
 * names this request. A request that was not run gives its claim back, again and again until the
 * service confirms it, since its caller was told it may come back.
 *
 * <p>Claims are kept for the idempotency window and then lapse: they are bound to leases the registry
 * takes out for that long, a new one each quarter of the window, so a claim lives between three
 * quarters of the window and the whole of it.
 */
public final class OnceRegistry {

    private static final Logger LOG = Logger.getLogger(OnceRegistry.class);
    private static final int LEASES_PER_WINDOW = 4;
    private static final long RELEASE_RETRY_MS = 500;
    private static final int RELEASE_ATTEMPTS = 1_200;
    private static final long STORE_RETRY_MS = 1_000;

    private final Vertx vertx;
    private final KvClient kv;
    private final long windowMs;
    private Future<Long> lease;
    private long leaseRenewAtMs;

    private OnceRegistry(Vertx vertx, KvClient kv, long windowMs) {
        this.vertx = vertx;
        this.kv = kv;
        this.windowMs = windowMs;
    }

    /** Creates the registry over a key-value client; call every method on that client's context. */
    public static OnceRegistry create(Vertx vertx, KvClient kv, long windowMs) {
        return new OnceRegistry(vertx, kv, windowMs);
    }

    /**
     * A held claim.
     *
     * @param key the claim's key
     * @param requestId the request that holds it
     */
    public record Claim(String key, String requestId) {}

    /** Claims the request's key; fails with a {@link Refusal} wrapped in {@link RefusedException}. */
    public Future<Claim> claim(RequestSpec spec) {
        Claim claim = new Claim(KvKeys.ONCE + spec.workspace() + "/" + spec.idempotencyKey(), spec.requestId());
        byte[] owner = spec.requestId().getBytes(StandardCharsets.UTF_8);
        return windowLease()
                .compose(
                        leaseId -> kv.put(claim.key(), owner, KvMessage.ABSENT, leaseId)
                                .map(claim)
                                .recover(e -> settle(claim, e)),
                        e -> Future.failedFuture(unavailable()));
    }

    /** Gives a claim back after its request was not run; tries until the service confirms. */
    public void release(Claim claim) {
        release(claim, 1);
    }

    private void release(Claim claim, int attempt) {
        kv.get(claim.key())
                .compose(reply ->
                        reply.entries().isEmpty() || !owns(reply.entries().get(0), claim)
                                ? Future.succeededFuture()
                                : kv.delete(claim.key(), reply.entries().get(0).version()))
                .onFailure(e -> {
                    if (attempt < RELEASE_ATTEMPTS) {
                        vertx.setTimer(RELEASE_RETRY_MS, t -> release(claim, attempt + 1));
                    } else {
                        LOG.warnf("claim not released key=%s request=%s", claim.key(), claim.requestId());
                    }
                });
    }

    private Future<Claim> settle(Claim claim, Throwable e) {
        if (e instanceof KvException conflict && conflict.status() == KvStatus.CONFLICT) {
            return Future.failedFuture(new RefusedException(Refusal.of(
                    RefusalReason.ALREADY_RUN,
                    "a request with this idempotency key was accepted before and may have run",
                    0)));
        }
        if (e instanceof KvException lapsed && lapsed.status() == KvStatus.NOT_FOUND) {
            lease = null;
            return Future.failedFuture(unavailable());
        }
        return kv.get(claim.key())
                .compose(
                        reply -> !reply.entries().isEmpty()
                                        && owns(reply.entries().get(0), claim)
                                ? Future.succeededFuture(claim)
                                : disown(claim),
                        again -> disown(claim));
    }

    /** Whether the write took effect is not known: refuses, and takes the claim back if it did. */
    private Future<Claim> disown(Claim claim) {
        vertx.setTimer(RELEASE_RETRY_MS, t -> release(claim));
        return Future.failedFuture(unavailable());
    }

    private Future<Long> windowLease() {
        long nowMs = MonotonicClock.nowMs();
        if (lease == null || lease.failed() || nowMs >= leaseRenewAtMs) {
            leaseRenewAtMs = nowMs + windowMs / LEASES_PER_WINDOW;
            lease = kv.grant(windowMs).map(KvMessage.Reply::leaseId);
        }
        return lease;
    }

    private static boolean owns(KvEntry entry, Claim claim) {
        return entry.text().equals(claim.requestId());
    }

    private static RefusedException unavailable() {
        return new RefusedException(Refusal.of(
                RefusalReason.STORE_UNAVAILABLE,
                "could not record the request before running it; not run",
                STORE_RETRY_MS));
    }
}
