package org.onyxhinge.router.forward;

/** Receives the progress of one attempt. The methods do nothing unless overridden. */
interface AnswerObserver {

    /** Ignores everything. */
    AnswerObserver NONE = new AnswerObserver() {};

    /**
     * Called with the time from the send to the first byte of the response.
     *
     * @param unreadMs upper bound of the part of it for which the byte may have lain unread, because this router was
     *     late
     */
    default void firstByte(long tookMs, long unreadMs) {}

    /** Called with the time at which bytes of a stream were received. */
    default void streamBytes(long atMs) {}

    /** Called with a time during which this router did not read the stream because its caller reads slowly. */
    default void notRead(long ms) {}

    /** Called when the response is complete, with whether it is a success. */
    default void ended(boolean success) {}

    /** Called when the attempt failed: shed, broken off, or not answered in time. */
    default void failed() {}
}
