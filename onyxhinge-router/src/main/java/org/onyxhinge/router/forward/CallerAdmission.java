package org.onyxhinge.router.forward;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.onyxhinge.core.admit.ConnectionAdmission;
import org.onyxhinge.core.admit.LinkBudget;
import org.onyxhinge.runtime.ProcessNetwork;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Decides whether callers may connect to this router, and whether they should leave it, from its processor time and the
 * bandwidth of its link. While it knows no other router in its data centre, which its callers could reach, they may
 * connect and stay.
 */
final class CallerAdmission {

    /** Connections arrive several at a time; in between, what they bring becomes visible. */
    private static final long OBSERVE_INTERVAL_MS = 20;

    private final ConnectionAdmission admission = ConnectionAdmission.create();
    private final ProcessNetwork network;
    private final int port;
    private final LinkBudget link;
    private final LongSupplier beginDelayMs;
    private final LongSupplier expectedBytes;
    private final BooleanSupplier otherRouters;
    private boolean listening = true;
    private long suspendedAtMs;
    private long suspendedMs;

    /**
     * Creates an admission that accepts all callers until it has observed something else.
     *
     * @param network the connections of this process
     * @param settings the port that callers connect to, and the rate of the link
     * @param beginDelayMs how long a request that arrives now would wait before it is begun
     * @param expectedBytes bytes of requests that callers have probably sent and that have not arrived
     * @param otherRouters whether callers can reach another router
     */
    CallerAdmission(
            ProcessNetwork network,
            ForwardingSettings settings,
            LongSupplier beginDelayMs,
            LongSupplier expectedBytes,
            BooleanSupplier otherRouters) {
        this.network = network;
        this.port = settings.port();
        this.link = LinkBudget.create(settings.linkBytesPerSecond());
        this.beginDelayMs = beginDelayMs;
        this.expectedBytes = expectedBytes;
        this.otherRouters = otherRouters;
    }

    /** Starts observing the router's load; called on its event loop. */
    void start(Vertx vertx) {
        vertx.setPeriodic(OBSERVE_INTERVAL_MS, t -> observe());
    }

    private void observe() {
        long nowMs = MonotonicClock.nowMs();
        boolean linkFull = link.isFull(network.receivedBytes(), network.sentBytes(), expectedBytes.getAsLong(), nowMs);
        admission.observe(beginDelayMs.getAsLong(), linkFull, nowMs);
        listen(admission.isOpen(nowMs) || !otherRouters.getAsBoolean(), nowMs);
    }

    /**
     * Opens or closes the listening socket. A connection that the operating system refuses costs neither processor time
     * nor bandwidth; one that is accepted and closed costs both, since its caller sends its request at once.
     */
    private void listen(boolean on, long nowMs) {
        if (on == listening) {
            return;
        }
        listening = on;
        if (on) {
            suspendedMs += nowMs - suspendedAtMs;
            network.resumeListening(port);
        } else {
            suspendedAtMs = nowMs;
            network.suspendListening(port, admission.acceptsPending());
        }
    }

    /** Time for which new connections have been refused since the start. */
    long suspendedMs() {
        return suspendedMs + (listening ? 0 : MonotonicClock.nowMs() - suspendedAtMs);
    }

    /** Whether to accept a connection. */
    boolean accepts() {
        observe();
        long nowMs = MonotonicClock.nowMs();
        boolean accepted = admission.accepts(nowMs) || !otherRouters.getAsBoolean();
        listen(admission.isOpen(nowMs) || !otherRouters.getAsBoolean(), nowMs);
        return accepted;
    }

    /** Whether callers should send their next requests to another router. */
    boolean shedsLoad() {
        return admission.shedsLoad() && otherRouters.getAsBoolean();
    }
}
