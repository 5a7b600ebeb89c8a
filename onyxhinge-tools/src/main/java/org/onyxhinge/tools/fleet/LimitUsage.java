package org.onyxhinge.tools.fleet;

/**
 * Requests received by one engine that advertised a rate limit.
 *
 * @param maxInWindow highest number of requests within {@link #WINDOW_MS}
 * @param total requests while the limit was advertised and known to all routers
 */
record LimitUsage(int maxInWindow, int total) {

    static final double WINDOW_MS = 4_000;

    /** Time allowed until every router knows a limit. */
    static final double PROPAGATION_MS = 3_000;
}
