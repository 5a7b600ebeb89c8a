package org.onyxhinge.wire.kv;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.wire.Loop;
import org.onyxhinge.wire.MonotonicClock;

/**
 * A key bound to a lease that is renewed as long as this object is open: requests the lease, writes the
 * key and sends a keep-alive every third of the time to live. If the lease has expired, for example
 * during a pause or an outage, or the service was restored from a copy, registers the key again under a
 * new lease.
 *
 * <p>Runs on the key-value client's context.
 */
public final class LeasedKey implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LeasedKey.class);
    private static final long INITIAL_RETRY_MS = 50;
    private static final int KEEP_ALIVES_PER_TTL = 3;

    private final Vertx vertx;
    private final KvStore kv;
    private final String key;
    private final byte[] value;
    private final long ttlMs;
    private final Loop loop;
    private long leaseId;
    /** Epoch of the service in which the key was written, see {@link KvRevision}. */
    private long registeredInEpoch;

    private long validUntilMs;
    private boolean registering;
    private long retryMs = INITIAL_RETRY_MS;
    private long timerId = -1;
    private boolean closed;

    private LeasedKey(Vertx vertx, KvStore kv, String key, byte[] value, long ttlMs) {
        this.vertx = vertx;
        this.kv = kv;
        this.key = key;
        this.value = value;
        this.ttlMs = ttlMs;
        this.loop = Loop.named("lease of " + key);
    }

    /** Starts registering {@code key} with {@code value} and keeping its lease alive. */
    public static LeasedKey hold(Vertx vertx, KvStore kv, String key, byte[] value, long ttlMs) {
        return new LeasedKey(vertx, kv, key, value, ttlMs).start();
    }

    private LeasedKey start() {
        register();
        timerId = vertx.setPeriodic(ttlMs / KEEP_ALIVES_PER_TTL, t -> sendKeepAlive());
        return this;
    }

    /**
     * True while the lease is certain to be valid. The time to live is counted from before the last renewal
     * was sent, so a process that was paused for longer than that sees at once that it may have expired.
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
        boolean sent = loop.turn(() -> kv.grant(ttlMs)
                .compose(g -> kv.put(key, value, KvMessage.ANY, g.leaseId())
                        .map(p -> registered(g.leaseId(), p, sentAtMs))
                        .onFailure(e -> kv.revoke(g.leaseId())))
                .onComplete(r -> registering = false)
                .onSuccess(p -> retryMs = INITIAL_RETRY_MS)
                .onFailure(e -> scheduleRegistration(e.getMessage())));
        if (!sent) {
            registering = false;
            scheduleRegistration("not sent");
        }
    }

    private void scheduleRegistration(String error) {
        LOG.debugf("lease registration failed key=%s retryMs=%d error=%s", key, retryMs, error);
        if (!closed) {
            vertx.setTimer(retryMs, t -> register());
            retryMs = Math.min(retryMs * 2, ttlMs / KEEP_ALIVES_PER_TTL);
        }
    }

    private KvMessage.Reply registered(long newLeaseId, KvMessage.Reply put, long sentAtMs) {
        leaseId = newLeaseId;
        registeredInEpoch = KvRevision.epoch(put.revision());
        validUntilMs = sentAtMs + ttlMs;
        LOG.infof("lease acquired key=%s lease=%d revision=%d", key, leaseId, put.revision());
        return put;
    }

    private void sendKeepAlive() {
        if (leaseId == 0) {
            return;
        }
        long sentAtMs = MonotonicClock.nowMs();
        long renewingLeaseId = leaseId;
        kv.keepAlive(renewingLeaseId)
                .onSuccess(r -> renewed(renewingLeaseId, KvRevision.epoch(r.revision()), sentAtMs))
                .onFailure(e -> {
                    if (renewingLeaseId == leaseId && e instanceof KvException k && k.status() == KvStatus.NOT_FOUND) {
                        LOG.warnf("lease expired key=%s lease=%d", key, leaseId);
                        leaseId = 0;
                        register();
                    }
                });
    }

    private void renewed(long renewedLeaseId, long epoch, long sentAtMs) {
        if (renewedLeaseId != leaseId) {
            return;
        }
        if (epoch > registeredInEpoch) {
            // The copy may have the lease but not the key, or have given the same lease id to another owner.
            LOG.infof("lease replaced key=%s lease=%d why=\"service restored\"", key, leaseId);
            leaseId = 0;
            register();
            return;
        }
        validUntilMs = sentAtMs + ttlMs;
    }

    /** Revokes the lease, which deletes the key, so that peers see the owner leave without waiting for the expiry. */
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
