package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vertx.core.net.NetClient;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.PeerUpdate;
import org.onyxhinge.core.place.PeerUpdateSchedule;
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
    private final Runnable refused;
    private PeerConnection connection;
    private long connectedAtMs;
    private boolean dialling;
    private long dialAfterMs;
    private long refusedAtMs = -REFUSED_MS;
    private boolean whole = true;
    private long sentAtMs;
    private State sent = new State(PeerUpdate.none(), Map.of());

    /**
     * What the router was told, or is to be told.
     *
     * @param news this router's calls
     * @param totals units each workspace has used here since the start
     */
    record State(PeerUpdate news, Map<String, Long> totals) {}

    /**
     * A link that is not made yet.
     *
     * @param refused called when the router's VM refuses a connection, and so its process does not run
     */
    PeerLink(String routerId, HostPort address, Runnable refused) {
        this.routerId = routerId;
        this.address = address;
        this.refused = refused;
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
        if (ConnectErrors.refused(e)) {
            refusedAtMs = failedAtMs;
            refused.run();
        }
        LOG.debugf("router not reached router=%s error=%s", routerId, e.getMessage());
        dialling = false;
        dialAfterMs = failedAtMs + DIAL_AGAIN_MS;
    }

    /**
     * Sends what has changed, if that is due.
     *
     * @param life which start of this router it is
     * @param windows units all routers let through in the quota window, told with a whole message only
     */
    void send(String ownId, long life, State now, Supplier<Map<String, Long>> windows, long nowMs) {
        boolean due = PeerUpdateSchedule.isDue(now.news(), sent.news(), nowMs - sentAtMs);
        boolean unitsUsed = now.news().sameGroup() && !now.totals().equals(sent.totals());
        if (!whole && !due && !unitsUsed) {
            return;
        }
        Map<String, TargetUse> uses = whole
                ? now.news().uses()
                : changed(sent.news().uses(), now.news().uses());
        Map<String, Long> totals = new HashMap<>(now.totals());
        if (!whole) {
            totals.entrySet().removeIf(e -> e.getValue().equals(sent.totals().get(e.getKey())));
        }
        boolean taken = connection.send(new PeerMessage.Usage(
                ownId,
                life,
                whole,
                uses,
                totals,
                whole ? windows.get() : Map.of(),
                now.news().waiting(),
                now.news().rates()));
        if (taken) {
            sent = now;
            sentAtMs = nowMs;
        }
        // After a message that was dropped, what the other side has is not known.
        whole = !taken;
    }

    /** True when the router is to be told everything with the next message: what it knows of this one is not known. */
    boolean startsAnew() {
        return whole;
    }

    /** Sends a message that must not be lost: where it cannot be sent now, the router is told everything later. */
    void tell(PeerMessage message) {
        if (connection == null || !connection.send(message)) {
            whole = true;
        }
    }

    /** Sends a message that is of no use later; it is dropped if there is no connection. */
    void sendNow(PeerMessage message) {
        if (connection != null) {
            connection.send(message);
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
