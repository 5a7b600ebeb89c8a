package org.onyxhinge.tools.fleet;

import org.onyxhinge.core.engine.EngineRun;

/**
 * One attempt of a caller to have a request answered by a router.
 *
 * @param kind kind of the request
 * @param rank combined rank: the workspace's takes precedence over the route's
 * @param run the work at an engine
 * @param promptTokens prompt length
 * @param expectedTokens answer length stated by the caller; 0 for none
 * @param deadlineMs how long the caller waits from the start of this attempt
 * @param listener receives the progress of the attempt
 */
record SimAttempt(
        RequestKind kind,
        int rank,
        EngineRun run,
        int promptTokens,
        int expectedTokens,
        long deadlineMs,
        Listener listener) {

    /** Receives the progress of an attempt. */
    interface Listener {

        /** The attempt was not run; the caller may retry after the given delay. */
        void refused(double retryAfterMs);

        /** An event of the answer has arrived. */
        void event();

        /** The answer is complete. */
        void completed();

        /** The answer was interrupted. */
        void failed();
    }
}
