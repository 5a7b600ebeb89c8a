package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.Map;

import org.jboss.logging.Logger;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.wire.peer.PeerMessage;

/** The last reported usage of each other router, and whether the router is alive. */
final class PeerUsageTracker {

    /**
     * Three missed intervals of {@link org.onyxhinge.core.place.PeerUpdateSchedule#PEER_HEARTBEAT_MS}, plus one message
     * in flight.
     */
    static final long SILENT_MS = 1_500;

    private static final Logger LOG = Logger.getLogger(PeerUsageTracker.class);

    private final Map<String, PeerState> routers = new HashMap<>();

    /** State of one router. */
    private static final class PeerState {
        private long startId;
        private long lastMessageAtMs;
        private boolean markedSilent;
        private final Map<String, TargetUse> uses = new HashMap<>();

        boolean isAlive(long nowMs) {
            return !markedSilent && nowMs - lastMessageAtMs < SILENT_MS;
        }
    }

    /** Applies a message; returns the sender's complete current usage. */
    PeerMessage.Usage update(PeerMessage.Usage usage, long nowMs) {
        PeerState peer = routers.computeIfAbsent(usage.routerId(), id -> new PeerState());
        if (usage.full() || peer.startId != usage.startId()) {
            peer.uses.clear();
        }
        peer.startId = usage.startId();
        peer.lastMessageAtMs = nowMs;
        peer.markedSilent = false;
        usage.uses().forEach((id, use) -> {
            if (use.calls() == 0) {
                peer.uses.remove(id);
            } else {
                peer.uses.put(id, use);
            }
        });
        return new PeerMessage.Usage(
                usage.routerId(),
                usage.startId(),
                true,
                peer.uses,
                usage.totals(),
                usage.windows(),
                usage.waiting(),
                usage.rates(),
                usage.workspaceUse());
    }

    /** Clears the usage of routers that have become silent and reports each of them to the listener. */
    void expireSilent(long nowMs, SilenceListener listener) {
        routers.forEach((id, peer) -> {
            if (!peer.isAlive(nowMs) && !peer.markedSilent) {
                LOG.infof("router silent router=%s silentMs=%d", id, nowMs - peer.lastMessageAtMs);
                clearUses(id, peer, listener);
            }
        });
    }

    /** Clears the usage of a router whose process is known not to be running, without waiting for the silence limit. */
    void markEnded(String routerId, SilenceListener listener) {
        PeerState peer = routers.get(routerId);
        if (peer != null && !peer.markedSilent) {
            LOG.infof("router ended router=%s", routerId);
            clearUses(routerId, peer, listener);
        }
    }

    private static void clearUses(String routerId, PeerState peer, SilenceListener listener) {
        peer.markedSilent = true;
        peer.uses.clear();
        listener.onRouterSilent(routerId);
    }

    /** Forgets a router that has left. */
    void forget(String routerId) {
        routers.remove(routerId);
    }

    /** Notified when a router is no longer heard from. */
    @FunctionalInterface
    interface SilenceListener {
        void onRouterSilent(String routerId);
    }

    /** True while messages from a router arrive in time. */
    boolean isAlive(String routerId, long nowMs) {
        PeerState peer = routers.get(routerId);
        return peer != null && peer.isAlive(nowMs);
    }

    /** True if no live router has an id lower than {@code routerId}. */
    boolean isLowestLiveId(String routerId, long nowMs) {
        return routers.entrySet().stream()
                .noneMatch(e -> e.getValue().isAlive(nowMs) && e.getKey().compareTo(routerId) < 0);
    }
}
