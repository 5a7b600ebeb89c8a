package org.onyxhinge.router.dispatch;

/** What traffic threads tell the router's control thread. Implementations hop to the control context. */
public interface ControlPlane {

    /** A checked request is ready to be scheduled. */
    void submit(Flight flight);

    /** The first token of a dispatched request came back. */
    void firstToken(String requestId);

    /**
     * No byte of a dispatched request could be sent: it was not run and may be offered to another target.
     */
    void unsent(String requestId);

    /**
     * A request reached its final answer, or its caller went away.
     *
     * @param requestId the request
     * @param sent true when any of it was sent to an engine
     */
    void ended(String requestId, boolean sent);
}
