package org.onyxhinge.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;

import org.onyxhinge.core.limit.SlidingWindowCounter;

/**
 * Decides which rank a call of a contended service is queued with, from what one router has sent and refused. A rank
 * whose calls are so short that they fit into a small part of the slot time is served about as often as the next more
 * urgent rank: while it is not, its calls are queued with the most urgent rank. A promoted call does not overtake
 * queued calls of a rank that is itself mostly refused; it is queued as an arriving call of that rank would be.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class ShortCallShares {

    /** In a large fleet a router sees only a few calls of a rank per second. */
    private static final long WINDOW_MS = 10_000;

    /** The window in which a rank is seen to be mostly refused at present. */
    private static final long REFUSAL_WINDOW_MS = 1_000;

    /** Fraction of the share of the next more urgent rank; below 1, so that no rank is served more often than that. */
    private static final double RELATIVE_SHARE = 0.95;

    /** Fraction of the slot time that promoted calls may use. */
    private static final double MAX_SLOT_TIME_FRACTION = 0.1;

    /** Weight of the newest call of a rank; the average spans about 20 calls. */
    private static final double HOLD_TIME_SMOOTHING = 0.05;

    private final TreeMap<Integer, Counts> byRank = new TreeMap<>();
    private final SlidingWindowCounter slotMs = SlidingWindowCounter.over(WINDOW_MS);
    private final SlidingWindowCounter promotedSlotMs = SlidingWindowCounter.over(WINDOW_MS);
    private long promotedCalls;
    private long heldBackCalls;

    private ShortCallShares() {}

    /** Creates an instance without calls. */
    public static ShortCallShares create() {
        return new ShortCallShares();
    }

    /**
     * How a call is queued.
     *
     * @param rank the rank that it is queued with
     * @param isShortCall whether it is promoted because its rank's calls are short
     * @param alsoPromoted ranks that it would overtake although they are mostly refused, with the rank that their
     *     queued calls must have so that it does not
     */
    public record Turn(int rank, boolean isShortCall, Map<Integer, Integer> alsoPromoted) {}

    /**
     * Counts since the start.
     *
     * @param promotedCalls calls promoted because they are short
     * @param heldBackCalls promoted calls that got a less urgent rank because a rank in between was mostly refused
     * @param promotedSlotPercent part of the slot time of the last seconds that short promoted calls use
     */
    public record State(long promotedCalls, long heldBackCalls, double promotedSlotPercent) {}

    /** The calls of one rank; retries after a refusal are not counted as refused again. */
    private static final class Counts {
        final SlidingWindowCounter sent = SlidingWindowCounter.over(WINDOW_MS);
        final SlidingWindowCounter onTime = SlidingWindowCounter.over(WINDOW_MS);
        final SlidingWindowCounter refused = SlidingWindowCounter.over(WINDOW_MS);
        final SlidingWindowCounter sentLately = SlidingWindowCounter.over(REFUSAL_WINDOW_MS);
        final SlidingWindowCounter refusedLately = SlidingWindowCounter.over(REFUSAL_WINDOW_MS);
        /** Average time in the slot; negative while no call has ended. */
        double holdMs = -1;

        long decided(long nowMs) {
            return sent.total(nowMs) + refused.total(nowMs);
        }

        /** Fraction of the decided calls that were sent while they could be on time. */
        double share(long nowMs) {
            return (double) onTime.total(nowMs) / decided(nowMs);
        }

        boolean isMostlyRefused(long nowMs) {
            return refusedLately.total(nowMs) > sentLately.total(nowMs);
        }
    }

    /** Records a refused call. */
    public void refused(int rank, long nowMs) {
        Counts counts = counts(rank);
        counts.refused.add(nowMs);
        counts.refusedLately.add(nowMs);
    }

    /**
     * Records a call that is sent.
     *
     * @param canBeOnTime whether its first byte can be on time
     * @param isShortCall whether it was promoted as a short call
     */
    public void sent(int rank, boolean canBeOnTime, boolean isShortCall, long nowMs) {
        Counts counts = counts(rank);
        counts.sent.add(nowMs);
        counts.sentLately.add(nowMs);
        counts.onTime.add(nowMs, canBeOnTime ? 1 : 0);
        // The expected time is counted when the call is sent: long calls end after the promotions that they must limit.
        long holdMs = (long) Math.max(0, counts.holdMs);
        slotMs.add(nowMs, holdMs);
        promotedSlotMs.add(nowMs, isShortCall ? holdMs : 0);
    }

    /** Records that a call has ended and how long it was in its slot. */
    public void ended(int rank, long heldMs) {
        Counts counts = counts(rank);
        counts.holdMs = counts.holdMs < 0 ? heldMs : counts.holdMs + HOLD_TIME_SMOOTHING * (heldMs - counts.holdMs);
    }

    /**
     * Decides how an arriving call is queued.
     *
     * @param isBelowMinimum ranks whose minimum share is not met
     * @param isQueued ranks of which calls are queued here
     */
    public Turn turn(int rank, IntPredicate isBelowMinimum, IntPredicate isQueued, long nowMs) {
        counts(rank);
        int mostUrgent = byRank.firstKey();
        Map<Integer, Integer> refusedTurns = new TreeMap<>();
        Counts above = null;
        for (Map.Entry<Integer, Counts> e : byRank.headMap(rank, true).entrySet()) {
            int each = e.getKey();
            boolean belowMinimum = isBelowMinimum.test(each);
            boolean isShort = !belowMinimum && above != null && isShort(e.getValue(), above, nowMs);
            int wanted = belowMinimum || isShort ? mostUrgent : each;
            int turn = refusedTurns.values().stream().reduce(wanted, Math::max);
            if (each == rank) {
                return decided(rank, wanted, turn, isShort, refusedTurns);
            }
            if (each > mostUrgent && isQueued.test(each) && e.getValue().isMostlyRefused(nowMs)) {
                refusedTurns.put(each, turn);
            }
            if (e.getValue().decided(nowMs) > 0) {
                above = e.getValue();
            }
        }
        throw new IllegalStateException("rank " + rank + " is not counted");
    }

    private Turn decided(int rank, int wanted, int turn, boolean isShort, Map<Integer, Integer> refusedTurns) {
        Map<Integer, Integer> alsoPromoted = new HashMap<>();
        if (turn < rank) {
            refusedTurns.forEach((each, itsTurn) -> {
                if (itsTurn < each && turn < each) {
                    alsoPromoted.put(each, itsTurn);
                }
            });
        }
        promotedCalls += isShort && turn < rank ? 1 : 0;
        heldBackCalls += turn > wanted ? 1 : 0;
        return new Turn(turn, isShort && turn < rank, alsoPromoted);
    }

    /**
     * Whether a rank is served less often than the one above, and both what it lacks and what is promoted already fit
     * into the part of the slot time that promoted calls may use. Longer calls would use up that part without getting
     * their share, and leave nothing for short ones.
     */
    private boolean isShort(Counts own, Counts above, long nowMs) {
        double targetShare = RELATIVE_SHARE * above.share(nowMs);
        if (own.holdMs < 0 || own.decided(nowMs) == 0 || own.share(nowMs) >= targetShare) {
            return false;
        }
        double allowedMs = MAX_SLOT_TIME_FRACTION * slotMs.total(nowMs);
        return own.decided(nowMs) * targetShare * own.holdMs <= allowedMs && promotedSlotMs.total(nowMs) <= allowedMs;
    }

    /** The current state, for the state dump. */
    public State state(long nowMs) {
        return new State(
                promotedCalls, heldBackCalls, 100.0 * promotedSlotMs.total(nowMs) / Math.max(1, slotMs.total(nowMs)));
    }

    private Counts counts(int rank) {
        return byRank.computeIfAbsent(rank, r -> new Counts());
    }
}
