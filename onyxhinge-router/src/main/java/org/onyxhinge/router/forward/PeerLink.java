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
import org.onyxhinge.core.text.LogText;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerConnection;
import org.onyxhinge.wire.peer.PeerMessage;
import org.onyxhinge.wire.peer.PeerTraffic;

/**
 * This router's connection to one other router: connects, reconnects when the peer is silent, and sends state changes.
 */
final class PeerLink implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(PeerLink.class);

    /**
     * A starting router refuses connections for a few hundred ms, and quotas are fully usable only once it is
     * heard from.
     */
    private static final long REDIAL_DELAY_MS = 120;

    /** A connection that is lost sooner may not have led to a router. */
    private static final long BRIEF_CONNECTION_MS = 1_000;

    /** The delay is doubled this many times at most, to 3.8 s, while connections are brief and the peer is unheard. */
    private static final int MAX_DOUBLINGS = 5;

    /** A router whose VM refused a connection is known not to be running for this long. */
    private static final long DOWN_AFTER_REFUSAL_MS = 1_500;

    private final String routerId;
    private final HostPort address;
    private String dataCentre;
    private final Runnable onRefused;
    private PeerConnection connection;
    private long connectedAtMs;
    private boolean dialing;
    private long nextDialAtMs;
    private int briefConnections;
    private long refusedAtMs = -DOWN_AFTER_REFUSAL_MS;
    private boolean sendFullState = true;
    private long lastSentAtMs;
    private State lastSent = new State(PeerUpdate.none(), Map.of());

    /**
     * State that was sent, or is to be sent.
     *
     * @param news this router's calls
     * @param totals units that each workspace has used here since the start
     */
    record State(PeerUpdate news, Map<String, Long> totals) {}

    /**
     * Creates a link that is not connected yet.
     *
     * @param onRefused called when the peer's VM refuses a connection, which means that its process is not running
     */
    PeerLink(String routerId, HostPort address, String dataCentre, Runnable onRefused) {
        this.routerId = routerId;
        this.address = address;
        this.dataCentre = dataCentre;
        this.onRefused = onRefused;
    }

    HostPort address() {
        return address;
    }

    /** The peer's data centre; "" if unknown. */
    String dataCentre() {
        return dataCentre;
    }

    void dataCentre(String current) {
        dataCentre = current;
    }

    boolean connected() {
        return connection != null;
    }

    /** True while the peer's process is known not to be running. */
    boolean isDown(long nowMs) {
        return connection == null && nowMs - refusedAtMs < DOWN_AFTER_REFUSAL_MS;
    }

    /** Allows the next connection attempt at once, because a message from the peer was received. */
    void resetDialDelay() {
        nextDialAtMs = 0;
        briefConnections = 0;
    }

    /**
     * Closes the current connection so that a new one is made. A connection can go silent without a reset; the side
     * that receives nothing reconnects, and the other side does the same when it sees that.
     */
    void reconnectIfStale(long nowMs) {
        if (connection != null && nowMs - connectedAtMs > PeerUsageTracker.SILENT_MS) {
            PeerConnection old = connection;
            connection = null;
            old.close();
        }
    }

    void dial(NetClient client, PeerTraffic traffic, Consumer<PeerMessage> received, long nowMs) {
        if (dialing || nowMs < nextDialAtMs) {
            return;
        }
        dialing = true;
        client.connect(address.port(), address.host())
                .onSuccess(socket -> {
                    dialing = false;
                    sendFullState = true;
                    long atMs = MonotonicClock.nowMs();
                    connectedAtMs = atMs;
                    connection = PeerConnection.attach(socket, traffic, received, () -> lost(atMs));
                })
                .onFailure(this::connectFailed);
    }

    private void lost(long connectionMadeAtMs) {
        long lostAtMs = MonotonicClock.nowMs();
        boolean brief = lostAtMs - connectionMadeAtMs < BRIEF_CONNECTION_MS;
        briefConnections = brief ? Math.min(MAX_DOUBLINGS, briefConnections + 1) : 0;
        if (briefConnections <= 1) {
            LOG.infof("router link lost router=%s", LogText.of(routerId));
        }
        if (connectedAtMs == connectionMadeAtMs) {
            connection = null;
            if (brief) {
                nextDialAtMs = lostAtMs + (REDIAL_DELAY_MS << briefConnections);
            }
        }
    }

    private void connectFailed(Throwable e) {
        long failedAtMs = MonotonicClock.nowMs();
        if (ConnectErrors.refused(e)) {
            refusedAtMs = failedAtMs;
            onRefused.run();
        }
        LOG.debugf("router not reached router=%s error=%s", routerId, e.getMessage());
        dialing = false;
        nextDialAtMs = failedAtMs + REDIAL_DELAY_MS;
    }

    /**
     * Sends the changes since the last message, if due.
     *
     * @param life identifies the current start of this router
     * @param windows units that all routers let through in the quota window; sent with full messages only
     */
    void send(String ownId, long startId, State now, Supplier<Map<String, Long>> windows, long nowMs) {
        boolean due = PeerUpdateSchedule.isDue(now.news(), lastSent.news(), nowMs - lastSentAtMs);
        boolean totalsChanged = now.news().sameGroup() && !now.totals().equals(lastSent.totals());
        if (!sendFullState && !due && !totalsChanged) {
            return;
        }
        Map<String, TargetUse> uses = sendFullState
                ? now.news().uses()
                : changedUses(lastSent.news().uses(), now.news().uses());
        Map<String, Long> totals = new HashMap<>(now.totals());
        if (!sendFullState) {
            totals.entrySet()
                    .removeIf(e -> e.getValue().equals(lastSent.totals().get(e.getKey())));
        }
        boolean accepted = connection.send(new PeerMessage.Usage(
                ownId,
                startId,
                sendFullState,
                uses,
                totals,
                sendFullState ? windows.get() : Map.of(),
                now.news().waiting(),
                now.news().rates(),
                now.news().workspaceUse()));
        if (accepted) {
            lastSent = now;
            lastSentAtMs = nowMs;
        }
        // If the message was dropped, the peer's state is unknown.
        sendFullState = !accepted;
    }

    /** True if the next message must carry the full state, because it is unknown what the peer has. */
    boolean needsFullState() {
        return sendFullState;
    }

    /** Sends a message that must not be lost: if it cannot be sent now, the full state is sent later. */
    void sendReliably(PeerMessage message) {
        if (connection == null || !connection.send(message)) {
            sendFullState = true;
        }
    }

    /** Sends a message that is useless later; it is dropped if there is no connection. */
    void sendBestEffort(PeerMessage message) {
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

    private static Map<String, TargetUse> changedUses(Map<String, TargetUse> before, Map<String, TargetUse> now) {
        Map<String, TargetUse> out = new HashMap<>(now);
        out.entrySet().removeIf(e -> e.getValue().equals(before.get(e.getKey())));
        Set<String> ended = new HashSet<>(before.keySet());
        ended.removeAll(now.keySet());
        ended.forEach(id -> out.put(id, new TargetUse(0, 0)));
        return out;
    }
}
