package org.onyxhinge.router.forward;

import org.onyxhinge.core.place.AdvertisedLimit;

/**
 * Status and headers of a target's response.
 *
 * @param status HTTP status
 * @param notRun whether the target states that it did not execute the call
 * @param foreign whether the response belongs to a different request
 * @param trusted whether the response carries a target's signature and has the expected encoding
 * @param limit the rate limit that the target reports
 */
public record ResponseHead(int status, boolean notRun, boolean foreign, boolean trusted, AdvertisedLimit limit) {

    public boolean success() {
        return status >= 200 && status < 300;
    }
}
