package org.onyxhinge.router.forward;

import io.vertx.core.http.HttpClientConnection;

/** One connection to a target; it carries one call at a time. */
final class TargetConnection {

    private final HttpClientConnection http;
    private final String targetId;
    private final boolean reused;
    private long idleUntilMs;

    TargetConnection(HttpClientConnection http, String targetId) {
        this(http, targetId, false, 0);
    }

    private TargetConnection(HttpClientConnection http, String targetId, boolean reused, long idleUntilMs) {
        this.http = http;
        this.targetId = targetId;
        this.reused = reused;
        this.idleUntilMs = idleUntilMs;
    }

    HttpClientConnection http() {
        return http;
    }

    String targetId() {
        return targetId;
    }

    /** True when it has carried a call before, so that the target may have closed it unseen. */
    boolean reused() {
        return reused;
    }

    TargetConnection idleUntil(long ms) {
        return new TargetConnection(http, targetId, true, ms);
    }

    boolean usable(long nowMs) {
        return nowMs < idleUntilMs;
    }
}
