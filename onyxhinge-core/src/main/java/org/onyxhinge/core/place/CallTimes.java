package org.onyxhinge.core.place;

/**
 * Deadlines of one request, all on the same monotonic clock, and whether it is a retry by a caller that was refused
 * before.
 *
 * @param firstByteDeadlineMs deadline for the first byte to count as on time, measured from the caller's first attempt
 * @param queueDeadlineMs latest time until which the request may be queued
 * @param responseDeadlineMs deadline for the complete response
 */
public record CallTimes(boolean isRetry, long firstByteDeadlineMs, long queueDeadlineMs, long responseDeadlineMs) {

    /** Minimum remaining time for an attempt at a target; with less, no target could respond in time. */
    public static final long MIN_REMAINING_MS = 30;

    /**
     * How long a call may be queued beyond its target latency. A late response is still useful, but the caller of a
     * stream gives up after a gap of 2 s, 4 times the latency or 8 times the event gap.
     */
    private static final long MAX_LATE_WAIT_MS = 600;

    /** The shortest gap after which the caller of a stream gives up. */
    private static final long MIN_GIVE_UP_GAP_MS = 2_000;

    private static final int GIVE_UP_TARGET_LATENCIES = 4;
    private static final int GIVE_UP_GAP_TARGETS = 8;

    /** Part of the caller's gap that it takes to notice the break, to connect again and to get the next event. */
    private static final long RESUMPTION_MS = 700;

    /** A smaller reduction of the caller's deadline is connection set-up time and not an earlier refusal. */
    private static final long MIN_RETRY_ELAPSED_MS = 25;

    /** Computes the deadlines of a request that was read as it arrived. */
    public static CallTimes of(long readAtMs, long waitedBeforeMs, long targetLatencyMs, long deadlineMs) {
        return of(readAtMs, 0, waitedBeforeMs, targetLatencyMs, deadlineMs);
    }

    /**
     * Computes the deadlines of a request. Its caller's time runs from its arrival, its time in the queue from when it
     * was read: a router that was late is not full.
     *
     * @param unreadMs how long it may have lain unread
     * @param waitedBeforeMs time since the caller's first attempt
     * @param targetLatencyMs time within which the first byte is on time
     * @param deadlineMs time left for the response: the caller's deadline or the route's timeout, whichever is
     *     shorter
     */
    public static CallTimes of(
            long readAtMs, long unreadMs, long waitedBeforeMs, long targetLatencyMs, long deadlineMs) {
        boolean isRetry = waitedBeforeMs >= MIN_RETRY_ELAPSED_MS;
        long responseDeadlineMs = readAtMs - unreadMs + deadlineMs;
        long elapsedMs = Math.max(unreadMs, isRetry ? waitedBeforeMs : 0);
        long firstByteDeadlineMs = readAtMs - elapsedMs + targetLatencyMs;
        long queueDeadlineMs =
                Math.min(readAtMs + targetLatencyMs + MAX_LATE_WAIT_MS, responseDeadlineMs - MIN_REMAINING_MS);
        return new CallTimes(isRetry, firstByteDeadlineMs, queueDeadlineMs, responseDeadlineMs);
    }

    /**
     * Latest time until which a request that resumes a stream may be queued. It waits longer than one that begins,
     * until its caller would give up: a refusal also costs what the caller has received before.
     *
     * @param targetLatencyMs time within which the first byte of a new stream is on time
     * @param gapTargetMs longest gap between two events that counts as on time; 0 for no bound
     */
    public long resumedQueueDeadlineMs(long arrivedAtMs, long targetLatencyMs, long gapTargetMs) {
        long giveUpMs = Math.max(
                MIN_GIVE_UP_GAP_MS,
                Math.max(GIVE_UP_TARGET_LATENCIES * targetLatencyMs, GIVE_UP_GAP_TARGETS * gapTargetMs));
        return Math.min(arrivedAtMs + giveUpMs - RESUMPTION_MS, responseDeadlineMs - MIN_REMAINING_MS);
    }
}
