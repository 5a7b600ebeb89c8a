package org.onyxhinge.tools.fleet;

/**
 * One kind of request of a site.
 *
 * @param name its name
 * @param rank priority of its route, 0 being the most urgent
 * @param perSecond requests per second over the whole site
 * @param promptTokens mean prompt length
 * @param outputTokens mean answer length
 * @param targetLatencyMs longest time to the first event of an answer that is on time
 * @param gapTargetMs longest gap between events of an answer that is on time
 * @param deadlineMs how long a caller waits for the complete answer
 * @param worth worth of an answer on time
 * @param lateWorth worth of a late answer
 */
record RequestKind(
        String name,
        int rank,
        double perSecond,
        int promptTokens,
        int outputTokens,
        long targetLatencyMs,
        long gapTargetMs,
        long deadlineMs,
        double worth,
        double lateWorth) {

    /** Callers of streams give up after the longest of 2 s, 4 target latencies and 8 target gaps without an event. */
    long idleTimeoutMs() {
        return Math.max(2_000, Math.max(4 * targetLatencyMs, 8 * gapTargetMs));
    }

    /** Returns the same kind with its request rate multiplied by {@code factor}. */
    RequestKind scaledBy(double factor) {
        return new RequestKind(
                name,
                rank,
                perSecond * factor,
                promptTokens,
                outputTokens,
                targetLatencyMs,
                gapTargetMs,
                deadlineMs,
                worth,
                lateWorth);
    }
}
