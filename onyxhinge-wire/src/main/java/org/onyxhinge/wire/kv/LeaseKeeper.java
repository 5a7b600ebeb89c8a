package org.onyxhinge.wire.kv;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Holds one key under a lease in the key-value service: grants the lease, writes the key, sends a
 * keep-alive every third of the time to live, and when the lease has lapsed (the service forgot it
 * during a pause or an outage) starts again with a new lease.
 *
 * <p>Runs on the key-value client's context.
 */
public final class LeaseKeeper implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LeaseKeeper.class);
    private static final long FIRST_RETRY_MS = 50;
    private static final int KEEP_ALIVES_PER_TTL = 3;

    private final Vertx vertx;
    private final KvStore kv;
    private final String key;
    private final byte[] value;
    private final long ttlMs;
    private long leaseId;
    private long validUntilMs;
    private boolean registering;
    private long retryMs = FIRST_RETRY_MS;
    private long timerId = -1;
    private boolean closed;

    private LeaseKeeper(Vertx vertx, KvStore kv, String key, byte[] value, long ttlMs) {
        this.vertx = vertx;
        this.kv = kv;
        this.key = key;
        this.value = value;
        this.ttlMs = ttlMs;
    }

    /** Starts holding {@code key} with {@code value}. */
    public static LeaseKeeper hold(Vertx vertx, KvStore kv, String key, byte[] value, long ttlMs) {
        return new LeaseKeeper(vertx, kv, key, value, ttlMs).started();
    }

    private LeaseKeeper started() {
        register();
        timerId = vertx.setPeriodic(ttlMs / KEEP_ALIVES_PER_TTL, t -> beat());
        return this;
    }

    /**
     * True while the lease is certain to be held: counted from before the call that last renewed it was
     * sent, so a holder that was paused past its lease knows at once that it may have lapsed.
     */
    public boolean held() {
        return leaseId != 0 && MonotonicClock.nowMs() < validUntilMs;
    }

    private void register() {
        if (closed || registering) {
            return;
        }
        registering = true;
        long sentAtMs = MonotonicClock.nowMs();
        kv.grant(ttlMs)
                .compose(g -> kv.put(key, value, KvMessage.ANY, g.leaseId())
                        .map(p -> registered(g.leaseId(), p, sentAtMs))
                        .onFailure(e -> kv.revoke(g.leaseId())))
                .onComplete(r -> registering = false)
                .onSuccess(p -> retryMs = FIRST_RETRY_MS)
                .onFailure(e -> registerLater(e.getMessage()));
    }

    private void registerLater(String why) {
        LOG.debugf("lease register failed key=%s retryMs=%d error=%s", key, retryMs, why);
        if (!closed) {
            vertx.setTimer(retryMs, t -> register());
            retryMs = Math.min(retryMs * 2, ttlMs / KEEP_ALIVES_PER_TTL);
        }
    }

    private KvMessage.Reply registered(long newLeaseId, KvMessage.Reply put, long sentAtMs) {
        leaseId = newLeaseId;
        validUntilMs = sentAtMs + ttlMs;
        LOG.infof("lease held key=%s lease=%d revision=%d", key, leaseId, put.revision());
        return put;
    }

    private void beat() {
        if (leaseId == 0) {
            return;
        }
        long sentAtMs = MonotonicClock.nowMs();
        long beating = leaseId;
        kv.keepAlive(beating).onSuccess(r -> renewed(beating, sentAtMs)).onFailure(e -> {
            if (beating == leaseId && e instanceof KvException k && k.status() == KvStatus.NOT_FOUND) {
                LOG.warnf("lease lapsed key=%s lease=%d", key, leaseId);
                leaseId = 0;
                register();
            }
        });
    }

    private void renewed(long beaten, long sentAtMs) {
        if (beaten == leaseId) {
            validUntilMs = sentAtMs + ttlMs;
        }
    }

    /** Ends the lease now, deleting the key, so peers see the holder leave at once. */
    public Future<Void> release() {
        closed = true;
        vertx.cancelTimer(timerId);
        long id = leaseId;
        leaseId = 0;
        return id == 0 ? Future.succeededFuture() : kv.revoke(id).mapEmpty();
    }

    @Override
    public void close() {
        release();
    }
}
