package org.onyxhinge.core.place;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.onyxhinge.core.limit.SlidingWindowCounter;
import org.onyxhinge.core.share.ShortCallShares;

/**
 * Prevents starvation of a rank within a service. With strict priority a rank gets only what the more urgent ranks
 * leave, which in a sustained overload is nothing. Each router enforces a minimum share for its own calls, so no
 * coordination is needed. With {@link Mechanism#SHORT_CALL_SHARES}, {@link ShortCallShares} decides with which rank the
 * promoted calls are queued.
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
    private final boolean minimumShare;
    private final Optional<ShortCallShares> shortCalls;
    /** Calls that are queued with a more urgent rank because they are short. */
    private final Set<Call> promoted = Collections.newSetFromMap(new IdentityHashMap<>());

    /** Creates shares without calls, for a placement that uses some mechanisms. */
    RankShares(PlacementSettings settings) {
        this.minimumShare = settings.uses(Mechanism.LEAST_SHARE);
        this.shortCalls =
                settings.uses(Mechanism.SHORT_CALL_SHARES) ? Optional.of(ShortCallShares.create()) : Optional.empty();
    }

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
        if (!call.isRetry() && !call.isRepeat()) {
            counts(call.rank()).refused().add(nowMs);
            shortCalls.ifPresent(s -> s.refused(call.rank(), nowMs));
        }
        promoted.remove(call);
    }

    /**
     * Records a call that is sent.
     *
     * @param canBeOnTime whether its first byte can be on time
     */
    void sent(Call call, BooleanSupplier canBeOnTime, long nowMs) {
        boolean isShortCall = promoted.remove(call);
        // Sending the same request to a further target does not produce another response.
        if (call.avoid().isEmpty()) {
            counts(call.rank()).sent().add(nowMs);
            shortCalls.ifPresent(s -> s.sent(call.rank(), canBeOnTime.getAsBoolean(), isShortCall, nowMs));
        }
    }

    /** Records that a call is no longer queued because its caller has disconnected. */
    void withdrawn(Call call) {
        promoted.remove(call);
    }

    /** Records that a call has ended and how long it was in its slot. */
    void ended(Call call, long heldMs) {
        shortCalls.ifPresent(s -> s.ended(call.rank(), heldMs));
    }

    /** The state of the shares of short calls, if they are used. */
    Optional<ShortCallShares.State> shortCallState(long nowMs) {
        return shortCalls.map(s -> s.state(nowMs));
    }

    /**
     * The rank a call is queued with: its own, or the most urgent one while too small a share of its own rank is sent.
     *
     * @param waiting the queued calls, some of which may be promoted with it
     */
    int effectiveRank(Call call, WaitingCalls waiting, long nowMs) {
        if (call.isRepeat()) {
            return call.rank();
        }
        if (shortCalls.isPresent()) {
            boolean mayBePromoted = minimumShare && !call.isRetry();
            ShortCallShares.Turn turn = shortCalls
                    .get()
                    .turn(call.rank(), r -> mayBePromoted && isUnderserved(r, nowMs), waiting::anyOfRank, nowMs);
            turn.alsoPromoted().forEach(waiting::promote);
            if (turn.isShortCall()) {
                promoted.add(call);
            }
            return turn.rank();
        }
        return minimumShare && !call.isRetry() && isUnderserved(call.rank(), nowMs)
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
