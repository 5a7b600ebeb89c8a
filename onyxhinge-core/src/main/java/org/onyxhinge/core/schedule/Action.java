package org.onyxhinge.core.schedule;

import org.onyxhinge.core.model.RequestSpec;

/** A side effect that the scheduler requests from its adapters. Actions are carried out in the order returned. */
public sealed interface Action {

    /** The id of the request that this action concerns. */
    String requestId();

    /**
     * Sends the request to an engine. Returned at most once per request.
     *
     * @param spec the request
     * @param engine the chosen engine, as its agent last described it
     */
    record Dispatch(RequestSpec spec, EngineInfo engine) implements Action {
        @Override
        public String requestId() {
            return spec.requestId();
        }
    }

    /**
     * Answers the caller with a refusal; the request was never dispatched.
     *
     * @param spec the request
     * @param refusal the refusal returned to the caller
     */
    record Refuse(RequestSpec spec, Refusal refusal) implements Action {
        @Override
        public String requestId() {
            return spec.requestId();
        }
    }

    /**
     * Stops a running request on its engine and reports the reason to its caller.
     *
     * @param requestId the request
     * @param engineId the engine it runs on
     * @param refusal the refusal returned to the caller
     */
    record Cancel(String requestId, String engineId, Refusal refusal) implements Action {}

    /**
     * Asks the other routers that use the engine, through its agent, to preempt a request of a lower tier. The result
     * is passed to {@link Scheduler#preemptionAnswered}.
     *
     * @param spec the request that would otherwise be refused
     * @param engineId the engine
     */
    record RequestPreemption(RequestSpec spec, String engineId) implements Action {
        @Override
        public String requestId() {
            return spec.requestId();
        }
    }
}
