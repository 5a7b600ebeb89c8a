package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.Context;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.LapsedTargets;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;

/** The targets of a forwarder, as they are registered. The public methods may be called from any thread. */
public final class TargetRegistry {

    private static final Logger LOG = Logger.getLogger(TargetRegistry.class);

    private final Context context;
    private final Placement placement;
    private final CrashingRequests crashing;
    private final Runnable changed;
    private final LapsedTargets lapsed = LapsedTargets.create();

    /**
     * A registry without targets.
     *
     * @param changed called when a target was taken in, so that waiting calls are looked at
     */
    TargetRegistry(Context context, Placement placement, CrashingRequests crashing, Runnable changed) {
        this.context = context;
        this.placement = placement;
        this.crashing = crashing;
        this.changed = changed;
    }

    /** Takes a registry entry of a target in. */
    public void seen(Target target) {
        context.runOnContext(v -> {
            lapsed.settled(target.id());
            Optional<TargetState> replaced = placement.targetSeen(target);
            replaced.ifPresent(crashing::ended);
            changed.run();
        });
    }

    /** Takes a target out that is no longer registered. */
    public void gone(String id) {
        context.runOnContext(v -> {
            lapsed.settled(id);
            takeOut(id);
        });
    }

    /** Notes that a target's registration is missing after the registry was away; it may soon be back. */
    public void lapsed(String id) {
        context.runOnContext(v -> lapsed.lapsed(id, MonotonicClock.nowMs()));
    }

    private void takeOut(String id) {
        placement.targetGone(id).ifPresent(crashing::ended);
    }

    /** Takes out the targets that have not registered again in time. */
    void sweep(long nowMs) {
        for (String id : lapsed.due(nowMs)) {
            LOG.infof("target gone id=%s why=\"not registered again after the registry was away\"", id);
            takeOut(id);
        }
    }
}
