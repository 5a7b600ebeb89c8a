package org.onyxhinge.core.place;

import java.util.Map;
import java.util.TreeMap;

import org.onyxhinge.core.limit.SlidingCount;

/**
 * Keeps any rank from being shut out of a service. Strictly by rank, a rank gets what the more urgent ones leave: in an
 * overload that lasts, nothing at all. Each router sees to it for the calls that come to it, so nothing need be agreed.
 */
final class RankShares {

    /**
     * Each rank has this part of what all calls have of their requests sent, whatever the more urgent ones ask for. A
     * kind of request counts as shut out below a quarter; the rest is for what is sent and not answered, and for
     * routers that are cut off.
     */
    private static final double LEAST_PART = 0.5;

    /** In a large fleet a router sees a few calls of a rank in a second; a share of a few dozen means something. */
    private static final long WINDOW_MS = 10_000;

    private final Map<Integer, Counts> byRank = new TreeMap<>();

    /** Of one rank: requests that were sent and that were refused, callers who came back left out. */
    private record Counts(SlidingCount sent, SlidingCount refused) {

        long sentIn(long nowMs) {
            return sent.total(nowMs);
        }

        long decidedIn(long nowMs) {
            return sent.total(nowMs) + refused.total(nowMs);
        }
    }

    void refused(Call call, long nowMs) {
        if (!call.returned()) {
            counts(call.rank()).refused().add(nowMs);
        }
    }

    void sent(Call call, long nowMs) {
        // A further target for the same request is no further answer.
        if (call.avoid().isEmpty()) {
            counts(call.rank()).sent().add(nowMs);
        }
    }

    /** The rank that a call goes by: its own, or the most urgent one while too little of its own is sent. */
    int rankFor(Call call, long nowMs) {
        return !call.returned() && isShort(call.rank(), nowMs)
                ? byRank.keySet().iterator().next()
                : call.rank();
    }

    private boolean isShort(int rank, long nowMs) {
        long decided = 0;
        long sent = 0;
        for (Counts c : byRank.values()) {
            decided += c.decidedIn(nowMs);
            sent += c.sentIn(nowMs);
        }
        Counts own = counts(rank);
        return own.sentIn(nowMs) * decided < LEAST_PART * sent * own.decidedIn(nowMs);
    }

    private Counts counts(int rank) {
        return byRank.computeIfAbsent(
                rank, r -> new Counts(SlidingCount.over(WINDOW_MS), SlidingCount.over(WINDOW_MS)));
    }
}
