package org.onyxhinge.router.connection;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.connection.ConnectionState;
import org.onyxhinge.wire.MonotonicClock;

/** One connection to a target; it carries one call at a time. Confined to the event loop of its router. */
public final class TargetConnection {

    private final long number;
    private final HttpClientConnection http;
    private final String incarnation;
    private final int maxIdle;
    private final ResponseGate gate;
    private final CarriedIds carriedIds = new CarriedIds();

    private int calls;
    /** Whether the connection carries no further call. */
    private boolean lastCall;

    private long idleUntilMs;
    private boolean closed;

    /**
     * Creates a connection that has carried no call.
     *
     * @param number identifies the connection within the process, for logs
     * @param http the connection
     * @param incarnation the incarnation of the target that it leads to
     * @param maxIdle number of idle connections to the target that this router may keep
     * @param listener is told of what arrives that belongs to no call, or may not
     */
    TargetConnection(
            long number, HttpClientConnection http, String incarnation, int maxIdle, SurplusListener listener) {
        this.number = number;
        this.http = http;
        this.incarnation = incarnation;
        this.maxIdle = maxIdle;
        this.gate = new ResponseGate(ConnectionPipeline.addStrictResponses(http), listener);
        ConnectionPipeline.addBeforeClient(http, gate);
    }

    /** Creates the request of a call. */
    public Future<HttpClientRequest> request(RequestOptions options) {
        return http.request(options);
    }

    /**
     * Expects the response to a request, which is about to be written.
     *
     * @param bodiless whether the response has no body whatever its headers say. The decoder forgets that if another
     *     response comes before it, so none is skipped, and the connection carries no further call
     */
    public void callSent(String requestId, boolean bodiless, ResponseReader reader) {
        calls++;
        lastCall |= bodiless;
        carriedIds.add(requestId, MonotonicClock.nowMs());
        gate.expect(reader, bodiless);
    }

    /** Whether no second response to an earlier call can be taken for that to a call with an id. */
    boolean admits(String requestId, long nowMs) {
        return carriedIds.admits(requestId, nowMs);
    }

    /** Closes the connection once everything has been written. */
    public void close() {
        http.close();
    }

    /** Closes the connection at once: what is left to be written would stay in memory until the target reads it. */
    public void abort() {
        ConnectionPipeline.closeAtOnce(http);
    }

    /** Whether it has been closed, by either side; what this router closes is told of as closed a moment later. */
    public boolean isClosed() {
        return closed || gate.unusableBecause().isPresent();
    }

    void markClosed() {
        closed = true;
    }

    /** Why this router has closed the connection; empty unless it has for what it received. */
    public Optional<ConnectionState.Reason> unusableBecause() {
        return gate.unusableBecause();
    }

    /** Whether the call's own response may not come, since of what came before it some may have been it. */
    public boolean mayStayUnanswered() {
        return gate.mayStayUnanswered();
    }

    /** Whether the response to another call can be told from what came before. */
    boolean isReusable() {
        return !lastCall && gate.isReusable();
    }

    /** Sets until when the connection, which carries no call now, may be used again. */
    void idleUntil(long ms) {
        idleUntilMs = ms;
    }

    boolean usable(long nowMs) {
        return !isClosed() && nowMs < idleUntilMs;
    }

    public long number() {
        return number;
    }

    String incarnation() {
        return incarnation;
    }

    int maxIdle() {
        return maxIdle;
    }

    /** Number of calls sent on the connection. */
    public int calls() {
        return calls;
    }

    /** Number of responses to other calls that came before that of the present one. */
    public int skippedResponses() {
        return gate.skippedResponses();
    }

    /** The ids that the first of them named, empty ones included. */
    public List<String> skippedIds() {
        return gate.skippedIds();
    }
}
