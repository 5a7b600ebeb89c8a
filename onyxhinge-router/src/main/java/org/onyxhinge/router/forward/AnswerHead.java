package org.onyxhinge.router.forward;

import org.onyxhinge.core.place.AdvertisedLimit;

/**
 * What the head of a target's answer says.
 *
 * @param status HTTP status
 * @param notRun the target states that it did not run the call
 * @param foreign it answers another call
 * @param trusted it bears a target's signature and is in the form that was asked for
 * @param limit what it says of the target's rate limit
 */
public record AnswerHead(int status, boolean notRun, boolean foreign, boolean trusted, AdvertisedLimit limit) {

    /** True for a 2xx status. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
