package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.vertx.core.http.HttpConnection;
import org.onyxhinge.wire.MonotonicClock;

/** Open connections from callers, and since when each has been idle. */
final class CallerConnections {

    /** Added to the callers' own idle timeout, so that a caller always closes an idle connection first. */
    private static final long IDLE_MARGIN_MS = 500;

    private final Map<HttpConnection, ConnectionState> open = new HashMap<>();

    private static final class ConnectionState {
        private int requests;
        private long idleSinceMs = MonotonicClock.nowMs();
    }

    void opened(HttpConnection c) {
        open.put(c, new ConnectionState());
        c.closeHandler(v -> open.remove(c));
        c.exceptionHandler(e -> c.close());
    }

    /** Records that a request has started on a connection. */
    void requestStarted(HttpConnection c) {
        ConnectionState state = open.get(c);
        if (state != null) {
            state.requests++;
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

    int openCount() {
        return open.size();
    }
}
