package org.onyxhinge.core.place;

import java.util.Map;
import java.util.TreeMap;

import org.onyxhinge.core.limit.SlidingWindowCounter;

/**
 * Prevents starvation of a rank within a service. With strict priority a rank gets only what the more urgent ranks
 * leave, which in a sustained overload is nothing. Each router enforces a minimum share for its own calls, so no
 * coordination is needed.
 */
final class RankShares {

    /**
     * Fraction of the overall success rate that is guaranteed to each rank, whatever the demand of more urgent ranks. A
     * kind of request counts as starved below a quarter; the margin covers requests that are sent but not answered, and
     * routers that are cut off.
     */
    private static final double MIN_RELATIVE_SHARE = 0.5;

    /**
     * In a large fleet a router sees only a few calls of a rank per second; a share is meaningful from a few dozen
     * calls.
     */
    private static final long WINDOW_MS = 10_000;

    private final Map<Integer, Counts> byRank = new TreeMap<>();

    /** Requests of one rank that were sent and that were refused, not counting retries. */
    private record Counts(SlidingWindowCounter sent, SlidingWindowCounter refused) {

        long sentWithinWindow(long nowMs) {
            return sent.total(nowMs);
        }

        long decidedWithinWindow(long nowMs) {
            return sent.total(nowMs) + refused.total(nowMs);
        }
    }

    void refused(Call call, long nowMs) {
        if (!call.isRetry()) {
            counts(call.rank()).refused().add(nowMs);
        }
    }

    void sent(Call call, long nowMs) {
        // Sending the same request to a further target does not produce another response.
        if (call.avoid().isEmpty()) {
            counts(call.rank()).sent().add(nowMs);
        }
    }

    /**
     * The rank a call is queued with: its own, or the most urgent one while too small a share of its own rank is sent.
     */
    int effectiveRank(Call call, long nowMs) {
        return !call.isRetry() && isUnderserved(call.rank(), nowMs)
                ? byRank.keySet().iterator().next()
                : call.rank();
    }

    private boolean isUnderserved(int rank, long nowMs) {
        long decided = 0;
        long sent = 0;
        for (Counts c : byRank.values()) {
            decided += c.decidedWithinWindow(nowMs);
            sent += c.sentWithinWindow(nowMs);
        }
        Counts own = counts(rank);
        return own.sentWithinWindow(nowMs) * decided < MIN_RELATIVE_SHARE * sent * own.decidedWithinWindow(nowMs);
    }

    private Counts counts(int rank) {
        return byRank.computeIfAbsent(
                rank, r -> new Counts(SlidingWindowCounter.over(WINDOW_MS), SlidingWindowCounter.over(WINDOW_MS)));
    }
}
