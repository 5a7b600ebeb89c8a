package org.onyxhinge.tools.fleet;

/** A simulated router. */
sealed interface SimRouter permits PlacementRouter, BaselineRouter {

    /** One-way delay between two data centres in ms, as in the users' specifications. */
    double REMOTE_DELAY_MS = 0.9;

    /** One-way delay within a data centre in ms, as in the users' specifications. */
    double LOCAL_DELAY_MS = 0.1;

    /** Accepts an attempt of a caller. */
    void submit(SimAttempt attempt);

    /** Cancels an attempt whose caller has given up. */
    void cancel(SimAttempt attempt);
}
