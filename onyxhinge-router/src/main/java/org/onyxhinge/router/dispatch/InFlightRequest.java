package org.onyxhinge.router.dispatch;

import io.vertx.core.Context;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.chart.StateChart;
import org.onyxhinge.core.chart.StateMachine;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.router.http.CallerRequest;

/**
 * A caller's request from its arrival at the router to its final response. Its lifecycle follows the
 * request state chart ({@code request.ini}). Fields that are not final are accessed only on the
 * request's traffic context, except {@code decidedNs}, which the control context writes.
 */
public final class InFlightRequest {

    /** State chart of the request lifecycle. */
    public static final StateChart CHART = StateChart.fromResource(StateChart.class, "request.ini");

    final Dispatcher dispatcher;
    final RequestSpec spec;
    final CallerRequest request;
    final HttpServerRequest httpRequest;
    final Context trafficContext;
    final StateMachine lifecycle;
    final long arrivedNs;
    volatile long decidedNs;
    long dispatchedNs;
    HttpClientRequest upstream;
    boolean sent;
    long firstTokenNs;
    long lastTokenNs;
    int tokens;
    boolean headersSent;
    final StringBuilder text = new StringBuilder();
    String finishReason = "stop";

    private InFlightRequest(
            Dispatcher dispatcher,
            RequestSpec spec,
            CallerRequest request,
            HttpServerRequest httpRequest,
            Context trafficContext,
            long arrivedNs) {
        this.dispatcher = dispatcher;
        this.spec = spec;
        this.request = request;
        this.httpRequest = httpRequest;
        this.trafficContext = trafficContext;
        this.arrivedNs = arrivedNs;
        this.lifecycle = StateMachine.start(CHART, spec.requestId());
    }

    /** Creates the state of a validated request that {@code dispatcher} handles on {@code trafficContext}. */
    public static InFlightRequest create(
            Dispatcher dispatcher,
            RequestSpec spec,
            CallerRequest request,
            HttpServerRequest httpRequest,
            Context trafficContext,
            long arrivedNs) {
        return new InFlightRequest(dispatcher, spec, request, httpRequest, trafficContext, arrivedNs);
    }

    /** Returns the dispatcher of the request's traffic context. */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the request as seen by the scheduler. */
    public RequestSpec spec() {
        return spec;
    }

    /** Returns the context that owns the caller's connection. */
    public Context trafficContext() {
        return trafficContext;
    }

    /**
     * Records the time of the scheduler's first decision about the request. Called on the control context
     * before any dispatch; later calls have no effect.
     */
    public void markDecided(long nowNs) {
        if (decidedNs == 0) {
            decidedNs = nowNs;
        }
    }

    /** Returns the lifecycle state, for the state dump. */
    public String state() {
        return lifecycle.state();
    }
}
