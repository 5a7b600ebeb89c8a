package org.onyxhinge.core.resume;

/**
 * Up to when a router's list of targets is known to be complete. A read confirms the list up to when it was sent:
 * whatever its answer passes on the way, or waits for unread, may have changed since.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one clock that includes suspended time.
 */
public final class ConfirmedList {

    /**
     * The list of a router in touch with its store is not older: a read without changes takes 0.5 s, the next one is
     * sent at most 1 s later and takes 0.5 s, and a slow store adds 0.2 s to each.
     */
    public static final long MAX_AGE_MS = 2_500;

    private static final long NEVER_MS = Long.MIN_VALUE;
    private static final long ALWAYS_MS = Long.MAX_VALUE;

    private long confirmedAtMs = NEVER_MS;
    private long confirmableFromMs = NEVER_MS;
    private boolean historyLost;

    private ConfirmedList() {}

    /** Creates a list that has not been read. */
    public static ConfirmedList unread() {
        return new ConfirmedList();
    }

    /**
     * Records that the complete answer to a read has been applied.
     *
     * @param sentAtMs when the read was sent
     * @return whether targets may have come and gone unseen before it
     */
    public boolean confirmed(long sentAtMs) {
        if (sentAtMs < confirmableFromMs) {
            return false;
        }
        boolean gap = confirmedAtMs == NEVER_MS || historyLost && sentAtMs - confirmedAtMs > MAX_AGE_MS;
        confirmedAtMs = Math.max(confirmedAtMs, sentAtMs);
        historyLost = false;
        return gap;
    }

    /** Records that the list is what decides which targets there are, such as a file: it is never out of date. */
    public boolean authoritative() {
        return confirmed(ALWAYS_MS);
    }

    /** Records that the next read shows the present targets, and not those that came and went since the last one. */
    public void historyLost() {
        historyLost = true;
    }

    /** Records that reads sent before a time confirm nothing, because the registry lacks recent registrations. */
    public void confirmableFrom(long fromMs) {
        confirmableFromMs = fromMs;
    }

    /** Whether the list holds all targets that were registered before a time. */
    public boolean covers(long atMs) {
        return confirmedAtMs != NEVER_MS && confirmedAtMs >= atMs;
    }

    /** Whether the list is as old as that of a router in touch with the registry may be. */
    public boolean isRecent(long nowMs) {
        return covers(nowMs - MAX_AGE_MS);
    }
}
