package org.onyxhinge.tools.load;

import java.util.List;

/**
 * What came back for one work item.
 *
 * @param item the item sent
 * @param status HTTP status
 * @param requestId the router's request id, from the answer
 * @param whole true when the answer ended with {@code [DONE]} and carried no error
 * @param tokens content pieces received
 * @param firstTokenMs time from send to the first piece, or -1
 * @param totalMs time from send to the end of the answer
 * @param errorType the error type the router gave, or empty
 * @param notRun the router's {@code not_run} flag on an error
 * @param retryAfterMs the router's {@code retry_after_ms} on an error
 * @param gapsMs times between two pieces of the answer
 * @param text the answer's text, for golden files
 */
public record Outcome(
        WorkItem item,
        int status,
        String requestId,
        boolean whole,
        int tokens,
        long firstTokenMs,
        long totalMs,
        String errorType,
        boolean notRun,
        long retryAfterMs,
        List<Long> gapsMs,
        String text) {

    /** Copies the list. */
    public Outcome {
        gapsMs = List.copyOf(gapsMs);
    }
}
