package org.onyxhinge.core.place;

import java.util.Map;

/**
 * Request to a router of another group to reserve slots for calls that are queued here and precede the calls of its
 * group.
 *
 * @param router the router to ask
 * @param service the service of the queued calls
 * @param waiting number of queued calls, by {@link Precedence}
 */
public record SlotRequest(String router, String service, Map<Integer, Integer> waiting) {}
