package org.onyxhinge.router.connection;

/** Is told of what a target has sent that belongs to no call, or may not. */
@FunctionalInterface
interface SurplusListener {

    /**
     * Called for each response, and for other bytes.
     *
     * @param what describes it, for the log
     * @param identified whether it is a response whose id tells it from those that are due
     */
    void received(String what, boolean identified);
}
