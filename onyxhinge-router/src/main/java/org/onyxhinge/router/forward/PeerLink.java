package org.onyxhinge.router.forward;

import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.net.NetClient;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.PeerCadence;
import org.onyxhinge.core.place.TargetUse;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/** Our connection to one other router: makes it, makes it anew when it has gone silent, and sends what has changed. */
final class PeerLink implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(PeerLink.class);

    /** A router that is starting refuses connections for a few hundred ms; quotas are in full use once it is heard. */
    private static final long DIAL_AGAIN_MS = 120;

    /** For so long after its VM refused a connection, a router's process is known not to run. */
    private static final long REFUSED_MS = 1_500;

    private final String routerId;
    private final HostPort address;
    private PeerConnection connection;
    private long connectedAtMs;
    private boolean dialling;
    private long dialAfterMs;
    private long refusedAtMs = -REFUSED_MS;
    private boolean whole = true;
    private long sentAtMs;
    private State sent = new State(Map.of(), Map.of(), Map.of());

    /**
     * What is told to all routers at once.
     *
     * @param uses this router's calls on each target
     * @param totals units each workspace has used here since the start
     * @param waiting how many calls wait here, by service and rank
     */
    record State(Map<String, TargetUse> uses, Map<String, Long> totals, Map<String, Map<Integer, Integer>> waiting) {}

    PeerLink(String routerId, HostPort address) {
        this.routerId = routerId;
        this.address = address;
    }

    HostPort address() {
        return address;
    }

    boolean connected() {
        return connection != null;
    }

    /** True while the router's process is known not to run. */
    boolean isDown(long nowMs) {
        return connection == null && nowMs - refusedAtMs < REFUSED_MS;
    }

    /** Notes that the router was heard, so that it need not be waited for before it is dialled. */
    void itRuns() {
        dialAfterMs = 0;
    }

    /**
     * Makes the connection anew. A connection can go silent without a reset: the side that hears nothing makes its
     * own anew, and the other side, seeing that, does the same.
     */
    void renew(long nowMs) {
        if (connection != null && nowMs - connectedAtMs > HeardRouters.SILENT_MS) {
            PeerConnection old = connection;
            connection = null;
            old.close();
        }
    }

    void dial(NetClient client, PeerTraffic traffic, Consumer<PeerMessage> received, long nowMs) {
        if (dialling || nowMs < dialAfterMs) {
            return;
        }
        dialling = true;
        client.connect(address.port(), address.host())
                .onSuccess(socket -> {
                    dialling = false;
                    whole = true;
                    long atMs = MonotonicClock.nowMs();
                    connectedAtMs = atMs;
                    connection = PeerConnection.attach(socket, traffic, received, () -> lost(atMs));
                })
                .onFailure(this::notReached);
    }

    private void lost(long connectionMadeAtMs) {
        LOG.infof("router link lost router=%s", routerId);
        if (connectedAtMs == connectionMadeAtMs) {
            connection = null;
        }
    }

    private void notReached(Throwable e) {
        long failedAtMs = MonotonicClock.nowMs();
        if (e instanceof ConnectException && !(e instanceof ConnectTimeoutException)) {
            refusedAtMs = failedAtMs;
        }
        LOG.debugf("router not reached router=%s error=%s", routerId, e.getMessage());
        dialling = false;
        dialAfterMs = failedAtMs + DIAL_AGAIN_MS;
    }

    /**
     * Sends what has changed, or a sign of life when that is due.
     *
     * @param life which start of this router it is
     * @param windows units all routers let through in the quota window, told with a whole message only
     */
    void send(String ownId, long life, State now, Supplier<Map<String, Long>> windows, long nowMs) {
        Map<String, TargetUse> uses = whole ? now.uses() : changed(sent.uses(), now.uses());
        Map<String, Long> totals = new HashMap<>(now.totals());
        if (!whole) {
            totals.entrySet().removeIf(e -> e.getValue().equals(sent.totals().get(e.getKey())));
        }
        boolean quiet = uses.isEmpty() && totals.isEmpty() && now.waiting().equals(sent.waiting());
        if (quiet && !whole && nowMs - sentAtMs < PeerCadence.SIGN_OF_LIFE_MS) {
            return;
        }
        boolean taken = connection.send(new PeerMessage.Usage(
                ownId, life, whole, uses, totals, whole ? windows.get() : Map.of(), now.waiting()));
        if (taken) {
            sent = now;
            sentAtMs = nowMs;
        }
        // After a message that was dropped, what the other side has is not known.
        whole = !taken;
    }

    /** Tells the router that a place at a target is left to it. */
    void leavePlace(String target) {
        if (connection != null) {
            connection.send(new PeerMessage.PlaceLeft(target));
        }
    }

    @Override
    public void close() {
        if (connection != null) {
            connection.close();
        }
    }

    private static Map<String, TargetUse> changed(Map<String, TargetUse> before, Map<String, TargetUse> now) {
        Map<String, TargetUse> out = new HashMap<>(now);
        out.entrySet().removeIf(e -> e.getValue().equals(before.get(e.getKey())));
        Set<String> cleared = new HashSet<>(before.keySet());
        cleared.removeAll(now.keySet());
        cleared.forEach(id -> out.put(id, new TargetUse(0, 0)));
        return out;
    }
}
