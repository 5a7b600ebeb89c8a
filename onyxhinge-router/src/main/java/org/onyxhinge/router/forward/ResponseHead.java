package org.onyxhinge.router.forward;

import org.onyxhinge.core.connection.ResponseIdentity;
import org.onyxhinge.core.place.AdvertisedLimit;

/**
 * Status and headers of a target's response.
 *
 * @param status HTTP status
 * @param notRun whether the target states that it did not execute the call
 * @param identity which call the response names
 * @param trusted whether the response carries a target's signature and has the expected encoding
 * @param limit the rate limit that the target reports
 * @param leaving whether the target announces that it is shutting down
 * @param retryAfterMs how long the target wants no further calls from this router; 0 if it does not say
 */
public record ResponseHead(
        int status,
        boolean notRun,
        ResponseIdentity identity,
        boolean trusted,
        AdvertisedLimit limit,
        boolean leaving,
        long retryAfterMs) {

    private static final int MISDIRECTED = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    /**
     * Combines what a protocol has read. The notices of a target are ignored where they do not apply: a misdirected
     * request was answered by some other process, and only a 503 asks for a pause.
     *
     * @param notRun whether the response states explicitly that the call was not executed
     * @param identity which call the response names
     * @param leaving whether the response announces a shutdown
     * @param retryAfter value of the {@code Retry-After} header; null if it is absent
     */
    public static ResponseHead of(
            int status,
            boolean notRun,
            ResponseIdentity identity,
            boolean trusted,
            AdvertisedLimit limit,
            boolean leaving,
            String retryAfter) {
        boolean misdirected = status == MISDIRECTED;
        return new ResponseHead(
                status,
                notRun || misdirected,
                identity,
                trusted,
                limit,
                leaving && !misdirected,
                status == SERVICE_UNAVAILABLE ? RetryAfter.parseMs(retryAfter) : 0);
    }

    public boolean success() {
        return status >= 200 && status < 300;
    }
}
