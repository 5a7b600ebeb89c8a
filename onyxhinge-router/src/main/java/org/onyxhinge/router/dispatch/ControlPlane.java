package org.onyxhinge.router.dispatch;

import org.onyxhinge.core.schedule.RefusalReason;

/** What traffic threads tell the router's control thread. Implementations hop to the control context. */
public interface ControlPlane {

    /** A checked request is ready to be scheduled. */
    void submit(Flight flight);

    /** The first token of a dispatched request came back. */
    void firstToken(String requestId);

    /**
     * A request reached its final answer, or its caller went away.
     *
     * @param requestId the request
     * @param dispatched true when an engine was given it
     * @param outcome null when completed whole, else why it ended
     */
    void ended(String requestId, boolean dispatched, RefusalReason outcome);
}
