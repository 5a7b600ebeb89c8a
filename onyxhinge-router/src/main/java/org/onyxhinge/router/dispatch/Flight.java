package org.onyxhinge.router.dispatch;

import io.vertx.core.Context;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.chart.StateChart;
import org.onyxhinge.core.chart.StateMachine;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.router.http.CallerRequest;

/**
 * One caller's request in the router, from arrival to its final answer. Its lifecycle follows the
 * request chart ({@code request.ini}). Everything but the final fields is touched only on its traffic
 * context.
 */
public final class Flight {

    /** The request chart every flight follows. */
    public static final StateChart CHART = StateChart.fromResource(StateChart.class, "request.ini");

    final Dispatcher dispatcher;
    final RequestSpec spec;
    final CallerRequest request;
    final HttpServerRequest caller;
    final Context traffic;
    final StateMachine machine;
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

    private Flight(
            Dispatcher dispatcher,
            RequestSpec spec,
            CallerRequest request,
            HttpServerRequest caller,
            Context traffic,
            long arrivedNs) {
        this.dispatcher = dispatcher;
        this.spec = spec;
        this.request = request;
        this.caller = caller;
        this.traffic = traffic;
        this.arrivedNs = arrivedNs;
        this.machine = StateMachine.start(CHART, spec.requestId());
    }

    /** Creates a flight for a checked request, to be carried out by {@code dispatcher} on {@code traffic}. */
    public static Flight create(
            Dispatcher dispatcher,
            RequestSpec spec,
            CallerRequest request,
            HttpServerRequest caller,
            Context traffic,
            long arrivedNs) {
        return new Flight(dispatcher, spec, request, caller, traffic, arrivedNs);
    }

    /** The dispatcher of its traffic context. */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /** The request as scheduled. */
    public RequestSpec spec() {
        return spec;
    }

    /** The context its caller's connection lives on. */
    public Context traffic() {
        return traffic;
    }

    /** Notes when the scheduler first decided about it; called on the control context before any dispatch. */
    public void decided(long nowNs) {
        if (decidedNs == 0) {
            decidedNs = nowNs;
        }
    }

    /** The lifecycle state, for the state dump. */
    public String state() {
        return machine.state();
    }
}
