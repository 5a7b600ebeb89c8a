package org.onyxhinge.core.admit;

/**
 * Decides which new connections of callers a router accepts while it lacks processor time or bandwidth. Beyond what it
 * bears, every further request makes the others late, and none would be served. A connection that is refused, or closed
 * before its request is read, costs the caller little: a load balancer hands its next attempt to another router.
 *
 * <p>Requests that begin late for a moment, as in a router that has just started, are still served; connections are
 * closed only once that has lasted.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class ConnectionAdmission {

    /** A request that begins this late may still be on time; the most urgent ones allow a few hundred ms. */
    static final long MAX_BEGIN_DELAY_MS = 100;

    /** How long requests must have begun late before connections are closed. */
    static final long CONFIRMATION_MS = 500;

    /**
     * How long requests must have begun on time before that is confirmed anew; until then connections are closed as
     * soon as requests begin late. Callers that were sent away come back within this time.
     */
    static final long CALM_MS = 5_000;

    /** How long requests must have begun late before callers are asked to leave connections that they keep. */
    static final long SHED_AFTER_MS = 250;

    /**
     * One connection is accepted at least this often: a load balancer that finds a router ready expects it to accept
     * connections.
     */
    static final long MAX_ACCEPT_INTERVAL_MS = 250;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private boolean lacksProcessor;
    private boolean linkFull;
    private boolean shedsLoad;
    /** Since when every request has begun late. */
    private long lateSinceMs = Long.MAX_VALUE;

    private boolean overloaded;
    /** Since when every request has begun late, or on time if the router is overloaded. */
    private long changingSinceMs = NEVER_MS;

    private long lastAcceptedAtMs = NEVER_MS;

    private ConnectionAdmission() {}

    /** Creates an instance that has accepted no connection. */
    public static ConnectionAdmission create() {
        return new ConnectionAdmission();
    }

    /**
     * Updates the state with what a request that arrives now would meet; called regularly, with or without connections.
     *
     * @param beginDelayMs how long it would wait before the router begins it
     * @param linkIsFull whether the router's link has no bandwidth left for it
     */
    public void observe(long beginDelayMs, boolean linkIsFull, long nowMs) {
        boolean late = beginDelayMs > MAX_BEGIN_DELAY_MS;
        // Requests have begun late for as long as the one that waits longest is overdue.
        long sinceMs = late ? nowMs - beginDelayMs + MAX_BEGIN_DELAY_MS : nowMs;
        updateState(late, sinceMs, nowMs);
        lateSinceMs = late ? Math.min(lateSinceMs, sinceMs) : Long.MAX_VALUE;
        lacksProcessor = overloaded && late;
        linkFull = linkIsFull;
        shedsLoad = lacksProcessor || linkFull || late && nowMs - lateSinceMs >= SHED_AFTER_MS;
    }

    /** Returns whether callers should be able to connect; a caller that is refused costs the router nothing. */
    public boolean isOpen(long nowMs) {
        return !lacksProcessor && !linkFull || nowMs - lastAcceptedAtMs >= MAX_ACCEPT_INTERVAL_MS;
    }

    /**
     * Returns whether to accept a caller that has connected. Its request is on its way already, so that a full link is
     * no reason to close the connection, as opposed to a lack of processor time.
     */
    public boolean accepts(long nowMs) {
        boolean accepted = !lacksProcessor || nowMs - lastAcceptedAtMs >= MAX_ACCEPT_INTERVAL_MS;
        if (accepted) {
            lastAcceptedAtMs = nowMs;
        }
        return accepted;
    }

    /** Whether callers that are about to connect are to be accepted once they have. */
    public boolean acceptsPending() {
        return !lacksProcessor;
    }

    /**
     * Whether callers should leave the connections that they keep, too. It costs them less than a request that is not
     * served, so it begins before new connections are closed.
     */
    public boolean shedsLoad() {
        return shedsLoad;
    }

    private void updateState(boolean late, long sinceMs, long nowMs) {
        if (late == overloaded) {
            changingSinceMs = NEVER_MS;
            return;
        }
        changingSinceMs = changingSinceMs == NEVER_MS ? sinceMs : Math.min(changingSinceMs, sinceMs);
        if (nowMs - changingSinceMs >= (late ? CONFIRMATION_MS : CALM_MS)) {
            overloaded = late;
            changingSinceMs = NEVER_MS;
        }
    }
}
