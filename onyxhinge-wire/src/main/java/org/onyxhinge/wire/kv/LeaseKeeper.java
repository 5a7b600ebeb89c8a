package org.onyxhinge.wire.kv;

import java.util.function.LongConsumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;

/**
 * Holds one key under a lease in the key-value service: grants the lease, writes the key, sends a
 * keep-alive every third of the time to live, and when the lease has lapsed (the service forgot it
 * during a pause or an outage) starts again with a new lease. Each successful write gives a new
 * fencing token, the key's revision, which only grows; orders carry it so a holder that was paused
 * past its lease cannot act on a stale belief.
 *
 * <p>Runs on the key-value client's context.
 */
public final class LeaseKeeper implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LeaseKeeper.class);
    private static final int KEEP_ALIVES_PER_TTL = 3;

    private final Vertx vertx;
    private final KvClient kv;
    private final String key;
    private final byte[] value;
    private final long ttlMs;
    private final LongConsumer onToken;
    private long leaseId;
    private long fencingToken;
    private long timerId = -1;
    private boolean closed;

    private LeaseKeeper(Vertx vertx, KvClient kv, String key, byte[] value, long ttlMs, LongConsumer onToken) {
        this.vertx = vertx;
        this.kv = kv;
        this.key = key;
        this.value = value;
        this.ttlMs = ttlMs;
        this.onToken = onToken;
    }

    /** Starts holding {@code key}; {@code onToken} hears each new fencing token. */
    public static LeaseKeeper hold(
            Vertx vertx, KvClient kv, String key, byte[] value, long ttlMs, LongConsumer onToken) {
        LeaseKeeper k = new LeaseKeeper(vertx, kv, key, value, ttlMs, onToken);
        k.register();
        k.timerId = vertx.setPeriodic(ttlMs / KEEP_ALIVES_PER_TTL, t -> k.beat());
        return k;
    }

    /** The current fencing token, 0 before the first write. */
    public long fencingToken() {
        return fencingToken;
    }

    /** True while a lease is believed held. */
    public boolean held() {
        return leaseId != 0;
    }

    private void register() {
        if (closed) {
            return;
        }
        kv.grant(ttlMs)
                .compose(g -> kv.put(key, value, KvMessage.ANY, g.leaseId()).map(p -> {
                    leaseId = g.leaseId();
                    fencingToken = p.entries().get(0).modRevision();
                    return p;
                }))
                .onSuccess(p -> {
                    LOG.infof("lease held key=%s lease=%d fencingToken=%d", key, leaseId, fencingToken);
                    onToken.accept(fencingToken);
                })
                .onFailure(e -> LOG.debugf("lease register failed key=%s error=%s", key, e.getMessage()));
    }

    private void beat() {
        if (leaseId == 0) {
            register();
            return;
        }
        kv.keepAlive(leaseId).onFailure(e -> {
            if (e instanceof KvException k && k.status() == KvStatus.NOT_FOUND) {
                LOG.warnf("lease lapsed key=%s lease=%d", key, leaseId);
                leaseId = 0;
                register();
            }
        });
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
