package org.onyxhinge.router.forward;

import java.util.List;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.jboss.logging.Logger;
import org.onyxhinge.core.rollout.RolloutOrder;
import org.onyxhinge.core.text.LogText;

/**
 * What the key-value service holds about rollouts: operators' orders, the routers' records and the state that operators
 * read. The public methods may be called from any thread.
 */
public final class RolloutRecords {

    private static final Logger LOG = Logger.getLogger(RolloutRecords.class);

    /** How often to look for entries to be written. */
    public static final long CHECK_INTERVAL_MS = 100;

    private final Context context;
    private final Rollouts rollouts;

    RolloutRecords(Context context, Rollouts rollouts) {
        this.context = context;
        this.rollouts = rollouts;
    }

    /** Applies an order; one that was applied before has no effect. */
    public void ordered(RolloutOrder order) {
        context.runOnContext(v -> rollouts.ordered(order));
    }

    /** Handles the removal of a service's order. */
    public void orderRemoved(String service) {
        context.runOnContext(v -> rollouts.orderRemoved(service));
    }

    /**
     * Applies the routers' record of a service as read from the store. An order is older than its record; an order id
     * beyond the record's version would keep the records of all later orders from being written.
     */
    public void restore(String service, byte[] bytes, long version) {
        context.runOnContext(v -> RolloutRecord.decode(bytes)
                .filterOrElse(r -> r.orderId() <= version, r -> "order of a later revision: " + r.orderId())
                .peek(r -> rollouts.recordRead(service, r, version))
                .peekLeft(e -> {
                    LOG.errorf(
                            "rollout record unreadable service=%s revision=%d error=%s",
                            LogText.of(service), version, LogText.of(e));
                    rollouts.recordUnreadable(service, version);
                }));
    }

    /** Whether bytes are a record of a service, as {@link #restore} takes it. */
    public static boolean isReadable(byte[] bytes) {
        return RolloutRecord.decode(bytes).isRight();
    }

    /** Handles the removal of the routers' record of a service. */
    public void recordRemoved(String service) {
        context.runOnContext(v -> rollouts.recordRemoved(service));
    }

    /** Applies the state of a service's rollout as read from the store. */
    public void statusRead(String service, RolloutStatus status, long version) {
        context.runOnContext(v -> rollouts.statusRead(service, status, version));
    }

    /** Handles a state of a service's rollout that cannot be read. */
    public void statusUnreadable(String service, long version) {
        context.runOnContext(v -> rollouts.statusUnreadable(service, version));
    }

    /** Handles the removal of the state of a service's rollout. */
    public void statusRemoved(String service) {
        context.runOnContext(v -> rollouts.statusRemoved(service));
    }

    /** The entries to be written now. */
    public Future<List<RolloutChange>> nextChanges() {
        Promise<List<RolloutChange>> out = Promise.promise();
        context.runOnContext(v -> out.complete(rollouts.nextChanges()));
        return out.future();
    }

    /** Records that an entry was written, with its new version. */
    public void written(RolloutChange change, long version) {
        context.runOnContext(v -> {
            switch (change) {
                case RolloutChange.Record r -> {
                    RolloutRecord recorded = RolloutRecord.decode(r.bytes()).get();
                    LOG.infof(
                            "rollout recorded service=%s version=%s phase=%s revision=%d",
                            r.service(), recorded.version(), recorded.phase(), version);
                    rollouts.recordRead(r.service(), recorded, version);
                    rollouts.recorded(r.service());
                }
                case RolloutChange.Status s -> {
                    LOG.infof(
                            "rollout status written service=%s version=%s state=%s revision=%d",
                            s.service(), s.status().version(), s.status().state(), version);
                    rollouts.statusRead(s.service(), s.status(), version);
                }
            }
        });
    }
}
