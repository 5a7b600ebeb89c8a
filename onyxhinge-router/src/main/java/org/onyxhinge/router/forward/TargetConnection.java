package org.onyxhinge.router.forward;

import io.vertx.core.http.HttpClientConnection;

/**
 * One connection to a target; it carries one call at a time.
 *
 * @param http the connection
 * @param targetId the target
 * @param idleUntilMs until when it may be used again; 0 while it is in use
 */
record TargetConnection(HttpClientConnection http, String targetId, long idleUntilMs) {

    static TargetConnection inUse(HttpClientConnection http, String targetId) {
        return new TargetConnection(http, targetId, 0);
    }

    TargetConnection idleUntil(long ms) {
        return new TargetConnection(http, targetId, ms);
    }

    boolean usable(long nowMs) {
        return nowMs < idleUntilMs;
    }
}
