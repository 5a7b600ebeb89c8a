package org.onyxhinge.core.place;

import java.util.Map;

/**
 * Request to a router of another group to reserve slots for calls that are queued here and precede the calls of its
 * group: at most one for each call.
 *
 * @param router the router to ask
 * @param service the service of the queued calls
 * @param waiting number of calls, by {@link Precedence}
 */
public record SlotRequest(String router, String service, Map<Integer, Integer> waiting) {

    /** How long the router that is asked reserves slots for the request. */
    static final long VALID_MS = 200;
}
