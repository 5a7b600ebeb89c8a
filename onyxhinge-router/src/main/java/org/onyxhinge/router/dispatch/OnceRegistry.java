package org.onyxhinge.router.dispatch;

import java.nio.charset.StandardCharsets;

import io.vertx.core.Future;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvEntry;
import org.onyxhinge.wire.kv.KvException;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.KvStatus;

/**
 * Records each non-idempotent request in the key-value service before it is dispatched, so it runs
 * at most once across all routers: the key {@code once/WORKSPACE/IDEMPOTENCY_KEY} is created with
 * compare-and-swap and holds the request id. A second request with the same key is refused as already
 * run. When the reply to the create is lost, the key is read back: the claim holds only if it names
 * this request. A request refused before dispatch gives its claim back, since it was not run.
 */
public final class OnceRegistry {

    private static final String PREFIX = "once/";

    private final KvClient kv;

    private OnceRegistry(KvClient kv) {
        this.kv = kv;
    }

    /** Creates the registry over a key-value client. */
    public static OnceRegistry create(KvClient kv) {
        return new OnceRegistry(kv);
    }

    /**
     * A held claim.
     *
     * @param key the claim's key
     * @param version the key's version, for giving it back
     */
    public record Claim(String key, long version) {}

    /** Claims the request's key; fails with a {@link Refusal} wrapped in {@link RefusedException}. */
    public Future<Claim> claim(RequestSpec spec) {
        String key = PREFIX + spec.workspace() + "/" + spec.idempotencyKey();
        byte[] owner = spec.requestId().getBytes(StandardCharsets.UTF_8);
        return kv.put(key, owner, KvMessage.ABSENT, 0)
                .map(r -> new Claim(key, r.entries().get(0).version()))
                .recover(e -> settle(key, spec, e));
    }

    /** Gives a claim back after the request was refused before dispatch. Best effort. */
    public void release(Claim claim) {
        kv.delete(claim.key(), claim.version());
    }

    private Future<Claim> settle(String key, RequestSpec spec, Throwable e) {
        if (e instanceof KvException kvError && kvError.status() == KvStatus.CONFLICT) {
            return Future.failedFuture(new RefusedException(Refusal.of(
                    RefusalReason.ALREADY_RUN, "a request with this idempotency key has run or is running", 0)));
        }
        return kv.get(key)
                .compose(
                        reply -> {
                            if (!reply.entries().isEmpty()
                                    && owns(reply.entries().get(0), spec)) {
                                return Future.succeededFuture(
                                        new Claim(key, reply.entries().get(0).version()));
                            }
                            return Future.failedFuture(unavailable());
                        },
                        again -> Future.failedFuture(unavailable()));
    }

    private static boolean owns(KvEntry entry, RequestSpec spec) {
        return entry.text().equals(spec.requestId());
    }

    private static RefusedException unavailable() {
        return new RefusedException(Refusal.of(
                RefusalReason.STORE_UNAVAILABLE, "could not record the request before running it; not run", 1_000));
    }
}
