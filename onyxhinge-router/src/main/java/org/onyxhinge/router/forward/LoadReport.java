package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.Map;

import org.jboss.logging.Logger;
import org.onyxhinge.core.place.SlotLending;

/**
 * Logs once a second what a router under load has done: connections, requests, the delay of its event loop, the bytes
 * on its link and the slots exchanged with other groups of routers. A second without refusals, closed connections, late
 * events and requested slots is left out.
 */
final class LoadReport {

    /** Counts the requests whose head was read. */
    static final String REQUESTS = "callers.requests";

    /** Counts the requests that were refused, for whatever reason. */
    static final String REFUSED = "callers.refused";

    private static final Logger LOG = Logger.getLogger(LoadReport.class);
    private static final long INTERVAL_MS = 1_000;

    /** A delay that callers with the shortest target latencies notice. */
    private static final long LATE_MS = 100;

    private static final long BITS_PER_BYTE = 8;
    private static final long PERCENT = 100;

    private final Forwarder forwarder;
    /** The counts of the last report, by name. */
    private final Map<String, Long> reported = new HashMap<>();

    private LoadReport(Forwarder forwarder) {
        this.forwarder = forwarder;
    }

    /** Starts the reports, and exposes what they count as metrics. */
    static void start(Forwarder forwarder) {
        LoadReport report = new LoadReport(forwarder);
        ForwardingMetrics metrics = forwarder.metrics();
        metrics.gauge("link.received_bytes", forwarder.network()::receivedBytes);
        metrics.gauge("link.sent_bytes", forwarder.network()::sentBytes);
        metrics.gauge("memory.body_bytes", forwarder.bodyMemory()::reservedBytes);
        metrics.gauge("callers.listening_suspended_ms", forwarder.admission()::suspendedMs);
        forwarder.vertx().setPeriodic(INTERVAL_MS, t -> report.write());
    }

    private void write() {
        SlotLending lending = forwarder.placement().lending();
        long late = forwarder.loopDelay().takeMaxDelayMs();
        long requests = eventsSinceLast(REQUESTS);
        long refused = eventsSinceLast(REFUSED);
        long opened = eventsSinceLast(CallerConnections.OPENED);
        long closed = eventsSinceLast(CallerConnections.CLOSED_UNREAD);
        long suspendedMs = sinceLast("suspended", forwarder.admission().suspendedMs());
        long received = sinceLast("received", forwarder.network().receivedBytes());
        long sent = sinceLast("sent", forwarder.network().sentBytes());
        long requested = sinceLast("requested", lending.requested());
        long granted = sinceLast("granted", lending.granted());
        long used = sinceLast("used", lending.used());
        long lent = sinceLast("lent", lending.lent());
        if (refused + closed + suspendedMs + requested == 0 && late < LATE_MS) {
            return;
        }
        LOG.infof(
                "load requests=%d refused=%d connections=%d opened=%d closedUnread=%d"
                        + " listeningSuspendedMs=%d loopDelayMs=%d receivedKbps=%d sentKbps=%d linkPercent=%d"
                        + " slotsRequested=%d slotsGranted=%d slotsBorrowed=%d slotsLent=%d",
                requests,
                refused,
                forwarder.callers().openCount(),
                opened,
                closed,
                suspendedMs,
                late,
                kilobits(received),
                kilobits(sent),
                linkPercent(Math.max(received, sent)),
                requested,
                granted,
                used,
                lent);
    }

    private long eventsSinceLast(String name) {
        return sinceLast(name, forwarder.metrics().count(name));
    }

    private long sinceLast(String name, long total) {
        Long before = reported.put(name, total);
        return total - (before == null ? 0 : before);
    }

    /** The part of the link that the busier direction has used; -1 if its rate is unknown. */
    private long linkPercent(long bytes) {
        long linkBytesPerSecond = forwarder.settings().linkBytesPerSecond();
        return linkBytesPerSecond == 0 ? -1 : bytes * PERCENT / linkBytesPerSecond;
    }

    private static long kilobits(long bytes) {
        return bytes * BITS_PER_BYTE / 1_000;
    }
}
