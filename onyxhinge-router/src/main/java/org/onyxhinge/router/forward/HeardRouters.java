package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.Map;

import org.jboss.logging.Logger;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.wire.peer.PeerMessage;

/** What each other router last said, and whether it still speaks. */
final class HeardRouters {

    /** Three of {@link org.onyxhinge.core.place.PeerUpdateSchedule#PEER_HEARTBEAT_MS} missed, and one on its way. */
    static final long SILENT_MS = 1_500;

    private static final Logger LOG = Logger.getLogger(HeardRouters.class);

    private final Map<String, Heard> routers = new HashMap<>();

    /** What one router last said. */
    private static final class Heard {
        private long life;
        private long atMs;
        private boolean forgotten;
        private final Map<String, TargetUse> uses = new HashMap<>();

        boolean speaks(long nowMs) {
            return !forgotten && nowMs - atMs < SILENT_MS;
        }
    }

    /** Takes a message in; returns the sender's whole current use. */
    PeerMessage.Usage received(PeerMessage.Usage usage, long nowMs) {
        Heard h = routers.computeIfAbsent(usage.routerId(), id -> new Heard());
        if (usage.whole() || h.life != usage.life()) {
            h.uses.clear();
        }
        h.life = usage.life();
        h.atMs = nowMs;
        h.forgotten = false;
        usage.uses().forEach((id, use) -> {
            if (use.calls() == 0) {
                h.uses.remove(id);
            } else {
                h.uses.put(id, use);
            }
        });
        return new PeerMessage.Usage(
                usage.routerId(),
                usage.life(),
                true,
                h.uses,
                usage.totals(),
                usage.windows(),
                usage.waiting(),
                usage.rates());
    }

    /** Forgets what routers that have fallen silent had running, and tells of each as of one that uses nothing. */
    void forgetSilent(long nowMs, Side side) {
        routers.forEach((id, h) -> {
            if (!h.speaks(nowMs) && !h.forgotten) {
                LOG.infof("router silent router=%s silentMs=%d", id, nowMs - h.atMs);
                forget(id, h, side);
            }
        });
    }

    /** Forgets what a router had running whose process is known not to run: nobody waits until it counts as silent. */
    void forget(String routerId, Side side) {
        Heard h = routers.get(routerId);
        if (h != null && !h.forgotten) {
            LOG.infof("router ended router=%s", routerId);
            forget(routerId, h, side);
        }
    }

    private static void forget(String routerId, Heard h, Side side) {
        h.forgotten = true;
        h.uses.clear();
        side.routerSilent(routerId);
    }

    /** Hears of a router that says nothing any more. */
    @FunctionalInterface
    interface Side {
        void routerSilent(String routerId);
    }

    /** True while a router speaks. */
    boolean speaks(String routerId, long nowMs) {
        Heard h = routers.get(routerId);
        return h != null && h.speaks(nowMs);
    }

    /** True when no router that speaks has an id before {@code routerId}. */
    boolean noneBefore(String routerId, long nowMs) {
        return routers.entrySet().stream()
                .noneMatch(e -> e.getValue().speaks(nowMs) && e.getKey().compareTo(routerId) < 0);
    }
}
