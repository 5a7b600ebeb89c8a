package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.vertx.core.http.HttpConnection;
import org.onyxhinge.wire.MonotonicClock;

/** Callers' open connections, and since when each carries no request. */
final class CallerConnections {

    /** Beyond the callers' own limit, so that theirs is always reached first. */
    private static final long IDLE_MARGIN_MS = 500;

    private final Map<HttpConnection, Use> open = new HashMap<>();

    private static final class Use {
        private int requests;
        private long idleSinceMs = MonotonicClock.nowMs();
    }

    void opened(HttpConnection c) {
        open.put(c, new Use());
        c.closeHandler(v -> open.remove(c));
        c.exceptionHandler(e -> c.close());
    }

    /** Notes that a request begins on a connection. */
    void used(HttpConnection c) {
        Use use = open.get(c);
        if (use != null) {
            use.requests++;
        }
    }

    /** Notes that a request on a connection has its final answer. */
    void freed(HttpConnection c) {
        Use use = open.get(c);
        if (use != null) {
            use.requests--;
            use.idleSinceMs = MonotonicClock.nowMs();
        }
    }

    void closeIdleLongerThan(long idleMs) {
        long nowMs = MonotonicClock.nowMs();
        close(use -> use.requests == 0 && nowMs - use.idleSinceMs > idleMs + IDLE_MARGIN_MS);
    }

    void closeIdle() {
        close(use -> use.requests == 0);
    }

    private void close(Predicate<Use> which) {
        List<HttpConnection> chosen = new ArrayList<>();
        open.forEach((c, use) -> {
            if (which.test(use)) {
                chosen.add(c);
            }
        });
        chosen.forEach(HttpConnection::close);
    }

    int openNow() {
        return open.size();
    }
}
