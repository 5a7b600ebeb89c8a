package org.onyxhinge.router.dispatch;

/**
 * Request events that traffic threads report to the router's control thread. Implementations switch to
 * the control context themselves.
 */
public interface ControlPlane {

    /** Submits a validated request for scheduling. */
    void submit(InFlightRequest request);

    /** Reports that the target returned the first token of a dispatched request. */
    void firstToken(String requestId);

    /**
     * Reports that no byte of a dispatched request could be sent. The request has not run and may be
     * dispatched to another target.
     */
    void unsent(String requestId);

    /**
     * Reports that a request is finished: its final response was sent or its caller disconnected.
     *
     * @param requestId id of the request
     * @param sent true if any part of the request was sent to an engine
     */
    void ended(String requestId, boolean sent);
}
