package org.onyxhinge.core.place;

/** How often a router tells each other one what it has running and what waits. */
public final class PeerCadence {

    /** Longest time between two messages to one router. */
    public static final long SIGN_OF_LIFE_MS = 400;

    /** While places are free routers seldom take the same one, and little need be said. */
    private static final long SEND_MS = 60;

    /** While calls wait each slot that falls free is wanted by several routers. */
    private static final long SEND_BUSY_MS = 20;

    /**
     * Bounds what a router sends to about 80 messages a second, and to 250 while calls wait: what six routers send
     * each other at the intervals above. Each message costs both ends a system call and a wake-up. Beyond 33 links, and
     * 100 while calls wait, signs of life alone are more.
     */
    private static final long MS_PER_LINK = 12;

    private static final long BUSY_MS_PER_LINK = 4;

    private PeerCadence() {}

    /**
     * Whether another router is to be told something now. One of the same group is told at once what has changed. One
     * of another group is told at once only of slots of its own that are in use here; all else can wait for the next
     * sign of life.
     *
     * @param now what it is to be told
     * @param before what it was told last
     * @param agoMs how long ago that was
     */
    public static boolean isDue(PeerNews now, PeerNews before, double agoMs) {
        if (agoMs >= SIGN_OF_LIFE_MS) {
            return true;
        }
        if (now.near()) {
            return !now.uses().equals(before.uses()) || !now.waiting().equals(before.waiting());
        }
        return !now.borrowedUses().equals(before.borrowedUses());
    }

    /**
     * Time between two messages to each other router. A larger fleet speaks less often: each router's own calls, and so
     * what it has to tell, are fewer there. But nobody may fall silent.
     */
    public static long intervalMs(int links, boolean callsWait) {
        long wantedMs =
                callsWait ? Math.max(SEND_BUSY_MS, links * BUSY_MS_PER_LINK) : Math.max(SEND_MS, links * MS_PER_LINK);
        return Math.min(wantedMs, SIGN_OF_LIFE_MS);
    }
}
