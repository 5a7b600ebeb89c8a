package org.onyxhinge.core.place;

/** Determines how often a router reports its running and queued calls to each peer. */
public final class PeerUpdateSchedule {

    /** Longest interval between two messages to the same router. */
    public static final long PEER_HEARTBEAT_MS = 400;

    /** While slots are free, routers rarely compete for one, so few updates are needed. */
    private static final long MIN_INTERVAL_MS = 60;

    /** While calls are queued, several routers compete for each freed slot. */
    private static final long MIN_INTERVAL_QUEUED_MS = 20;

    /**
     * Limits a router to about 80 messages per second, and to 250 while calls are queued. That is what six routers send
     * each other at the intervals above. Each message costs a system call and a wake-up at both ends. Beyond 33 links,
     * or 100 while calls are queued, heartbeats alone exceed this rate.
     */
    private static final long MS_PER_LINK = 12;

    private static final long QUEUED_MS_PER_LINK = 4;

    private PeerUpdateSchedule() {}

    /**
     * Whether an update is due now. A router of the same group is sent every change at once. A router of another group
     * is sent a change at once only if it concerns slots of that group that are in use here; everything else can wait
     * for the next heartbeat.
     *
     * @param now the update that would be sent
     * @param before the last update sent
     * @param agoMs time since the last update
     */
    public static boolean isDue(PeerUpdate now, PeerUpdate before, double agoMs) {
        if (agoMs >= PEER_HEARTBEAT_MS) {
            return true;
        }
        if (now.sameGroup()) {
            return !now.uses().equals(before.uses()) || !now.waiting().equals(before.waiting());
        }
        return !now.borrowedUses().equals(before.borrowedUses());
    }

    /**
     * Interval between two messages to the same router. In a larger fleet messages are less frequent, because each
     * router has fewer calls of its own to report, but the heartbeat interval is never exceeded.
     */
    public static long intervalMs(int links, boolean callsWait) {
        long wantedMs = callsWait
                ? Math.max(MIN_INTERVAL_QUEUED_MS, links * QUEUED_MS_PER_LINK)
                : Math.max(MIN_INTERVAL_MS, links * MS_PER_LINK);
        return Math.min(wantedMs, PEER_HEARTBEAT_MS);
    }
}
