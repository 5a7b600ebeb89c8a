package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.vertx.core.Context;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.LapsedTargets;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvMirror;

/**
 * The targets of a forwarder, as they are registered and as their own responses describe them. The public methods may
 * be called from any thread.
 */
public final class TargetRegistry {

    private static final Logger LOG = Logger.getLogger(TargetRegistry.class);

    private final Context context;
    private final Placement placement;
    private final Rollouts rollouts;
    private final CrashQuarantine crashQuarantine;
    private final StreamOrigins streamOrigins;
    private final Runnable onChange;
    private final long leavingHoldMs;
    /** When targets that have announced their shutdown may be used again, by incarnation. */
    private final Map<String, Long> leavingUntilMs = new HashMap<>();

    private final LapsedTargets lapsed = LapsedTargets.create();
    /** Whether registrations were found missing since the list was last known to be complete. */
    private boolean newlyMissing;

    private final TargetListProof listProof;

    /**
     * Creates a registry without targets.
     *
     * @param onChange called when a target was added, so that waiting calls are reconsidered
     * @param leavingHoldMs see {@link ForwardingSettings}
     */
    TargetRegistry(
            Context context,
            Placement placement,
            Rollouts rollouts,
            CrashQuarantine crashQuarantine,
            StreamOrigins streamOrigins,
            Runnable onChange,
            long leavingHoldMs,
            TargetListProof listProof) {
        this.listProof = listProof;
        this.context = context;
        this.placement = placement;
        this.rollouts = rollouts;
        this.crashQuarantine = crashQuarantine;
        this.streamOrigins = streamOrigins;
        this.onChange = onChange;
        this.leavingHoldMs = leavingHoldMs;
    }

    /** Adds or updates a registered target. */
    public void targetRegistered(Target target) {
        context.runOnContext(v -> {
            lapsed.settled(target.id());
            rollouts.targetSeen(target);
            streamOrigins.targetRegistered(target);
            Optional<TargetState> replaced = placement.targetSeen(target);
            replaced.ifPresent(crashQuarantine::targetEnded);
            if (!target.ready() && drainIsFinal()) {
                placement.target(target.incarnation()).ifPresent(placement::leaving);
            }
            onChange.run();
        });
    }

    /** Removes a target that is no longer registered. */
    public void targetUnregistered(String id) {
        context.runOnContext(v -> {
            lapsed.settled(id);
            removeTarget(id);
        });
    }

    /**
     * Records that a target's registration is missing after the registry was unavailable; the target may soon register
     * again.
     */
    public void lapsed(String id) {
        context.runOnContext(v -> {
            lapsed.lapsed(id, MonotonicClock.nowMs());
            newlyMissing = true;
        });
    }

    /**
     * Records that the list is complete up to a time, by the suspend-aware clock, and that everything read with it has
     * been passed on.
     */
    public void listProved(long atMs, TargetListProof.Way way) {
        context.runOnContext(v -> {
            removeFewMissing();
            listProof.proved(atMs, way);
        });
    }

    private void removeFewMissing() {
        if (!newlyMissing) {
            return;
        }
        newlyMissing = false;
        Set<String> missing = lapsed.missing();
        Map<String, List<TargetState>> byService = placement.targets().stream()
                .collect(Collectors.groupingBy(t -> t.info().service()));
        byService.forEach((service, all) -> {
            List<String> ids = all.stream()
                    .map(t -> t.info().id())
                    .filter(missing::contains)
                    .toList();
            if (LapsedTargets.haveLeft(ids.size(), all.size())) {
                ids.forEach(id -> {
                    LOG.infof("target gone id=%s why=\"others of its service are registered\"", id);
                    lapsed.settled(id);
                    removeTarget(id);
                });
            }
        });
    }

    /** Up to when the list of targets is known to be complete. */
    TargetListProof listProof() {
        return listProof;
    }

    /**
     * Records that the complete answer to a read of the registry has been passed on.
     *
     * @param sentAtMs when the read was sent, by the suspend-aware clock
     */
    public void readConfirmed(long sentAtMs) {
        context.runOnContext(v -> streamOrigins.listConfirmed(sentAtMs));
    }

    /** Records that the targets passed on are all that there are, until others are. */
    public void listAuthoritative() {
        context.runOnContext(v -> streamOrigins.listAuthoritative());
    }

    /** Records that the next read of the registry shows nothing of what came and went since the last one. */
    public void historyLost() {
        context.runOnContext(v -> streamOrigins.listHistoryLost());
    }

    /** Records that the registry was restored from a copy: for a time it may lack what had been registered. */
    void registryRestored() {
        context.runOnContext(v -> streamOrigins.listConfirmableIn(KvMirror.REWRITE_MS));
    }

    /**
     * Takes a target out of use because one of its responses announces its shutdown. The registry may still list it as
     * ready: it may be unavailable to the target.
     */
    void shutdownAnnounced(TargetState target) {
        if (placement.leaving(target)) {
            LOG.infof(
                    "target leaving id=%s announcedBy=response holdMs=%d",
                    target.info().id(), leavingHoldMs);
            if (leavingHoldMs > 0) {
                leavingUntilMs.put(target.incarnation(), MonotonicClock.nowMs() + leavingHoldMs);
            }
        }
    }

    /**
     * Pauses calls to a target that has refused one.
     *
     * @param retryAfterMs how long it asks to be left alone; 0 if it does not say
     */
    void callRefused(TargetState target, long retryAfterMs) {
        if (retryAfterMs > 0) {
            LOG.infof("target pauses id=%s forMs=%d", target.info().id(), retryAfterMs);
        }
        placement.shed(target, MonotonicClock.nowMs(), retryAfterMs);
    }

    /**
     * Whether a draining target never becomes ready again. A registry that was restored from a copy may list it as
     * ready all the same.
     */
    private boolean drainIsFinal() {
        return leavingHoldMs == 0;
    }

    private void removeTarget(String id) {
        streamOrigins.targetRemoved(id);
        placement.targetGone(id).ifPresent(crashQuarantine::targetEnded);
    }

    /**
     * Removes the targets that have not registered again in time, and ends the hold on targets that have announced
     * their shutdown.
     */
    void sweep(long nowMs) {
        leavingUntilMs.entrySet().removeIf(e -> {
            boolean over = nowMs >= e.getValue();
            if (over) {
                LOG.infof("target tried again incarnation=%s why=\"hold after its shutdown is over\"", e.getKey());
                placement.leavingEnded(e.getKey());
            }
            return over;
        });
        for (String id : lapsed.due(nowMs)) {
            LOG.infof("target gone id=%s why=\"not registered again after the registry was away\"", id);
            removeTarget(id);
        }
    }
}
