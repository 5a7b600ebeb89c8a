package org.onyxhinge.core.schedule;

import org.onyxhinge.core.model.RequestSpec;

/** What the scheduler asks its adapters to do. Carried out in the order returned. */
public sealed interface Action {

    /** The request this action is about. */
    String requestId();

    /**
     * Send the request to an engine. Given at most once per request.
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
     * Answer the caller with a refusal; the request was never dispatched.
     *
     * @param spec the request
     * @param refusal what to tell the caller
     */
    record Refuse(RequestSpec spec, Refusal refusal) implements Action {
        @Override
        public String requestId() {
            return spec.requestId();
        }
    }

    /**
     * Stop a running request on its engine and tell its caller why.
     *
     * @param requestId the request
     * @param engineId where it runs
     * @param refusal what to tell the caller
     */
    record Cancel(String requestId, String engineId, Refusal refusal) implements Action {}

    /**
     * Ask the engine's other routers, through its agent, to stop a request of a lower tier. The answer
     * goes to {@link Scheduler#roomAnswered}.
     *
     * @param spec the request that would otherwise be refused
     * @param engineId the engine
     */
    record AskRoom(RequestSpec spec, String engineId) implements Action {
        @Override
        public String requestId() {
            return spec.requestId();
        }
    }
}
