package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.vertx.core.http.HttpConnection;
import org.jboss.logging.Logger;
import org.onyxhinge.runtime.server.ServerConnections;
import org.onyxhinge.wire.MonotonicClock;

/** Open connections from callers, and since when each has been idle. */
final class CallerConnections {

    /** Added to the callers' own idle timeout, so that a caller always closes an idle connection first. */
    private static final long IDLE_MARGIN_MS = 500;

    /** A caller that has sent nothing on its new connection for so long has opened it in advance. */
    private static final long FIRST_REQUEST_MS = 1_000;

    /** At most one line is logged in this time about connections that were closed unread. */
    private static final long LOG_INTERVAL_MS = 1_000;

    /** Counts the connections that were accepted. */
    static final String OPENED = "callers.opened";

    /** Counts the connections that were closed before a request was read. */
    static final String CLOSED_UNREAD = "callers.closed_unread";

    private static final Logger LOG = Logger.getLogger(CallerConnections.class);

    private final Map<HttpConnection, ConnectionState> open = new HashMap<>();
    /** New connections without a request, the oldest first. */
    private final Set<ConnectionState> unread = new LinkedHashSet<>();

    private final ForwardingMetrics metrics;
    private final CallerAdmission admission;
    private final ServerConnections server;
    private int closedUnread;
    private long loggedAtMs;

    private static final class ConnectionState {
        private final long openedAtMs = MonotonicClock.nowMs();
        private int requests;
        private long idleSinceMs = openedAtMs;
    }

    /**
     * Creates an instance without connections.
     *
     * @param server bounds what the connections hold
     */
    CallerConnections(ForwardingMetrics metrics, CallerAdmission admission, ServerConnections server) {
        this.metrics = metrics;
        this.admission = admission;
        this.server = server;
    }

    /** Handles a new connection. It is closed before its request is read unless it is admitted. */
    void opened(HttpConnection c) {
        if (!admission.accepts()) {
            c.close();
            closedUnread(MonotonicClock.nowMs());
            return;
        }
        if (!server.opened(c)) {
            closedUnread(MonotonicClock.nowMs());
            return;
        }
        metrics.event(OPENED);
        ConnectionState state = new ConnectionState();
        open.put(c, state);
        unread.add(state);
        c.closeHandler(v -> {
            open.remove(c);
            unread.remove(state);
        });
        c.exceptionHandler(e -> c.close());
    }

    private void closedUnread(long nowMs) {
        metrics.event(CLOSED_UNREAD);
        closedUnread++;
        if (nowMs - loggedAtMs >= LOG_INTERVAL_MS) {
            LOG.warnf("connections closed unread count=%d open=%d", closedUnread, open.size());
            closedUnread = 0;
            loggedAtMs = nowMs;
        }
    }

    /** Records that a request has started on a connection. */
    void requestStarted(HttpConnection c) {
        ConnectionState state = open.get(c);
        if (state != null) {
            state.requests++;
            unread.remove(state);
        }
    }

    /** Records that a request on a connection has received its final response. */
    void requestEnded(HttpConnection c) {
        ConnectionState state = open.get(c);
        if (state != null) {
            state.requests--;
            state.idleSinceMs = MonotonicClock.nowMs();
        }
    }

    void closeIdleLongerThan(long idleMs) {
        long nowMs = MonotonicClock.nowMs();
        close(state -> state.requests == 0 && nowMs - state.idleSinceMs > idleMs + IDLE_MARGIN_MS);
    }

    void closeIdle() {
        close(state -> state.requests == 0);
    }

    private void close(Predicate<ConnectionState> which) {
        List<HttpConnection> chosen = new ArrayList<>();
        open.forEach((c, state) -> {
            if (which.test(state)) {
                chosen.add(c);
            }
        });
        chosen.forEach(HttpConnection::close);
    }

    /** Number of new connections whose first request has yet to be read. */
    int unreadCount() {
        long nowMs = MonotonicClock.nowMs();
        unread.removeIf(state -> nowMs - state.openedAtMs > FIRST_REQUEST_MS);
        return unread.size();
    }

    int openCount() {
        return open.size();
    }
}
