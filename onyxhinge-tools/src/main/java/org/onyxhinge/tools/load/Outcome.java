package org.onyxhinge.tools.load;

import java.util.List;

/**
 * Result of a work item.
 *
 * @param item the item sent
 * @param status HTTP status, or 0 when there was no response
 * @param requestId request id assigned by the router, or empty
 * @param complete true when a streamed response ended with {@code [DONE]} and no error, or a response with a plain body
 *     had status 200 and no error
 * @param tokens number of content chunks received
 * @param firstTokenMs time to the first chunk, or -1 when there was none
 * @param totalMs time to the end of the response
 * @param errorType error type of the response, a transport error of the driver, or empty
 * @param notRun {@code not_run} flag of the error
 * @param retryAfterMs {@code retry_after_ms} of the error
 * @param gapsMs inter-token latencies
 * @param text response text, compared with golden files
 */
public record Outcome(
        WorkItem item,
        int status,
        String requestId,
        boolean complete,
        int tokens,
        long firstTokenMs,
        long totalMs,
        String errorType,
        boolean notRun,
        long retryAfterMs,
        List<Long> gapsMs,
        String text) {

    public Outcome {
        gapsMs = List.copyOf(gapsMs);
    }
}
