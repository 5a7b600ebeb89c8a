package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the routers to ask for slots of one service when calls are queued and this router's group has no free slot.
 * Several routers of other groups are asked at once, each for a part of the slots. Their number doubles while slots are
 * granted, so that a router which gets most calls of a fleet soon gets slots as fast as calls arrive, and is halved
 * while none is, so that routers do not waste time on requests when the whole fleet is overloaded.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
final class SlotBorrowing {

    private static final long MIN_PAUSE_MS = 20;
    private static final long MAX_PAUSE_MS = 80;

    /** Each request costs both routers a message; this allows as many as {@link PeerUpdateSchedule} does. */
    private static final long MS_PER_REQUEST = 4;

    /** About three groups; more routers are asked in turn. */
    private static final int MAX_ROUTERS_AT_ONCE = 24;

    private final String service;
    private final FleetView fleet;
    private int routersAtOnce = 1;
    private long pauseMs = MIN_PAUSE_MS;
    private long askAgainAtMs;
    private int next;
    /** Routers asked in the last round, and slots granted since. */
    private int asked;

    private int granted;

    SlotBorrowing(String service, FleetView fleet) {
        this.service = service;
        this.fleet = fleet;
    }

    /**
     * Returns the requests to send now; none during a pause, or if there is no other group.
     *
     * @param waiting number of queued calls without a slot, by {@link Precedence}
     */
    List<SlotRequest> requests(Map<Integer, Integer> waiting, long nowMs) {
        List<String> others = fleet.routersOfOtherGroups();
        if (nowMs < askAgainAtMs || others.isEmpty() || waiting.isEmpty()) {
            return List.of();
        }
        adapt();
        int slots = waiting.values().stream().mapToInt(n -> n).sum();
        int routers = Math.min(routersAtOnce, Math.min(slots, others.size()));
        long roundMs = Math.max(pauseMs, routers * MS_PER_REQUEST);
        askAgainAtMs = nowMs + roundMs;
        // Requests of several rounds are valid at a time; together they name each call about once.
        long validRequests = Math.min(others.size(), Math.max(1, routers * SlotRequest.VALID_MS / roundMs));
        int slotsPerRequest = (int) Math.ceilDiv(slots, validRequests);
        List<SlotRequest> out = new ArrayList<>();
        for (Map<Integer, Integer> part : deal(waiting, routers, slotsPerRequest)) {
            out.add(new SlotRequest(others.get(Math.floorMod(next++, others.size())), service, part));
        }
        asked = routers;
        granted = 0;
        return out;
    }

    private void adapt() {
        if (asked > 0 && 2 * granted >= asked) {
            routersAtOnce = Math.min(MAX_ROUTERS_AT_ONCE, 2 * routersAtOnce);
            pauseMs = MIN_PAUSE_MS;
        } else if (granted == 0) {
            routersAtOnce = Math.max(1, routersAtOnce / 2);
            pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
        }
    }

    /** Deals the most urgent of the calls out to a number of requests. */
    private static List<Map<Integer, Integer>> deal(Map<Integer, Integer> waiting, int requests, int callsPerRequest) {
        List<Map<Integer, Integer>> parts = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            parts.add(new HashMap<>());
        }
        int dealt = 0;
        for (Map.Entry<Integer, Integer> e : new TreeMap<>(waiting).entrySet()) {
            for (int n = 0; n < e.getValue() && dealt < requests * callsPerRequest; n++) {
                parts.get(dealt++ % requests).merge(e.getKey(), 1, Integer::sum);
            }
        }
        return parts;
    }

    /** Records that a router of another group has reserved a slot for this one. */
    void granted() {
        granted++;
    }
}
