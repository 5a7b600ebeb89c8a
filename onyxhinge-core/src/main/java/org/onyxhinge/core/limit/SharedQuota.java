package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A workspace's quota, shared by all routers: in any window, the rate times the window plus the burst. A token bucket
 * that refills evenly to the same sum keeps usage within the window even, so that usage which is unknown after a
 * restart can be assumed to be even too.
 *
 * <p>Each router sends the others the running total of what it has admitted and adds theirs to its own. An expected
 * router that is not heard from may be spending its equal part unseen, so the limit is then scaled to the fraction of
 * routers that are heard; both sides of a partition together stay within it.
 */
public final class SharedQuota {

    private static final double MS_PER_SECOND = 1_000.0;

    /**
     * A call must leave this many times its own units free for each rank below the first, so that a workspace near its
     * limit keeps the remainder for its most urgent calls.
     */
    private static final int RESERVE_PER_RANK = 20;

    /**
     * Fraction of its workspace's usage that each rank may always use, whatever the more urgent ranks request, so that
     * no rank is starved while the workspace is at its limit.
     */
    private static final double MIN_RANK_SHARE = 0.1;

    /**
     * Capacity of the bucket in bursts: one burst of callers plus one large call, which may count as much as a second
     * of a small workspace's rate.
     */
    private static final int BUCKET_BURSTS = 2;

    /**
     * Fraction of the limit presumed used after a restart; the rest serves calls until the first presumed usage
     * expires.
     */
    private static final double PRESUMED_USED_FRACTION = 0.9;

    private final Map<String, PeerTotal> peerTotals = new HashMap<>();
    private final long windowMs;
    private final SlidingWindowCounter used;
    private final Map<Integer, SlidingWindowCounter> ownByRank = new HashMap<>();
    /** Usage by any router that may have occurred before this router started. */
    private final SlidingWindowCounter presumed;

    private double perSecond;
    private double burst;
    private long usageKnownFromMs;
    private long ownTotal;
    private double level;
    private Optional<RetrySpread> spread = Optional.empty();
    /** Whether the limit was lowered below the usage in the window. */
    private boolean lowered;

    private long refilledAtMs;

    /** The last update from a router: its incarnation and its running total. */
    private record PeerTotal(long incarnation, long total) {}

    private SharedQuota(double perSecond, double burst, long windowMs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.windowMs = windowMs;
        this.used = SlidingWindowCounter.over(windowMs);
        this.presumed = SlidingWindowCounter.over(windowMs);
    }

    /**
     * Creates a quota; {@code perSecond} and {@code burst} apply to all routers together.
     *
     * @param past the preceding usage. Where it is unknown, most of the limit is presumed used and expires evenly over
     *     a window, faster than a workspace within its limit uses it up, until a router that knows the usage reports
     *     it. Where it is recorded, only what may have been used since the record is presumed in addition
     */
    public static SharedQuota create(double perSecond, double burst, long windowMs, PriorUsage past, long nowMs) {
        SharedQuota quota = new SharedQuota(perSecond, burst, windowMs);
        quota.usageKnownFromMs = past instanceof PriorUsage.None ? nowMs : nowMs + windowMs;
        quota.refilledAtMs = nowMs;
        switch (past) {
            case PriorUsage.None n -> quota.level = quota.capacity();
            case PriorUsage.Unknown u -> {
                quota.level = quota.capacity() / 2;
                quota.presumed.spread(nowMs, (long) (quota.windowLimit(1) * PRESUMED_USED_FRACTION));
            }
            case PriorUsage.Recorded r -> {
                quota.level = quota.capacity() / 2;
                quota.presumed.spread(nowMs - r.elapsedMs(), r.units());
                // Usage since the record is at most everything refilled in that time plus a full bucket at its end.
                long refilled = (long) (quota.windowLimit(1) * r.unobservedMs() / windowMs);
                quota.presumed.spread(nowMs, refilled, r.unobservedMs());
                quota.presumed.add(nowMs, Math.max(0, (long) quota.capacity() - r.toleratedUnits()));
            }
        }
        return quota;
    }

    /**
     * Spreads the times told to refused callers after the limit was lowered, until the usage is within the new limit.
     *
     * @param start where this router's times begin, 0 to 1; differs between routers
     */
    public void spreadRetries(double start) {
        spread = Optional.of(new RetrySpread(windowMs, start));
    }

    /** Applies a new limit. */
    public void limit(double newPerSecond, double newBurst) {
        lowered |= newPerSecond < perSecond || newBurst < burst;
        perSecond = newPerSecond;
        burst = newBurst;
    }

    private double capacity() {
        return BUCKET_BURSTS * burst;
    }

    private void refill(double heardPart, long nowMs) {
        level = Math.min(capacity(), level + (nowMs - refilledAtMs) * windowLimit(heardPart) / windowMs);
        refilledAtMs = nowMs;
    }

    private double windowLimit(double heardPart) {
        return (perSecond * windowMs / MS_PER_SECOND + burst) * heardPart;
    }

    /**
     * Takes {@code units}, if the quota has them available.
     *
     * @param rank the call's rank within its workspace, 0 the most urgent
     * @param heardPart fraction of the expected routers that were recently heard from, counting this one in both
     */
    public boolean tryTake(long units, int rank, double heardPart, long nowMs) {
        refill(heardPart, nowMs);
        if (shortfall(units, rank, heardPart, nowMs) > 0 || level < Math.min(units, capacity())) {
            return false;
        }
        level -= units;
        used.add(nowMs, units);
        ownByRank
                .computeIfAbsent(rank, r -> SlidingWindowCounter.over(windowMs))
                .add(nowMs, units);
        ownTotal += units;
        return true;
    }

    private long shortfall(long units, int rank, double heardPart, long nowMs) {
        // Routers that do not hear each other divide the presumed usage in the same proportion as the limit.
        double available = windowLimit(heardPart) - presumed.total(nowMs) * heardPart - used.total(nowMs);
        // A call larger than the limit is admitted when nothing is used; otherwise it could never be admitted.
        double required = Math.min(units, windowLimit(heardPart));
        // While usage is mostly presumed, the workspace is probably far from its limit and there is no remainder to
        // reserve.
        boolean reserveWaived = nowMs < usageKnownFromMs || isBelowMinShare(units, rank, nowMs);
        double reserved =
                reserveWaived ? 0 : Math.min((double) rank * RESERVE_PER_RANK * units, windowLimit(heardPart) / 2);
        return (long) Math.ceil(required + reserved - available);
    }

    private boolean isBelowMinShare(long units, int rank, long nowMs) {
        long allRanks = 0;
        for (SlidingWindowCounter count : ownByRank.values()) {
            allRanks += count.total(nowMs);
        }
        SlidingWindowCounter own = ownByRank.get(rank);
        return (own == null ? 0 : own.total(nowMs)) + units <= MIN_RANK_SHARE * (allRanks + units);
    }

    /** Refunds the units of a call that was never run. */
    public void giveBack(long units, int rank, long nowMs) {
        level += units;
        used.add(nowMs, -units);
        ownByRank
                .computeIfAbsent(rank, r -> SlidingWindowCounter.over(windowMs))
                .add(nowMs, -units);
        ownTotal -= units;
    }

    /** The state that currently decides about a call, for logs. */
    public QuotaState state(double heardPart, long nowMs) {
        long counted = used.total(nowMs) + (long) (presumed.total(nowMs) * heardPart);
        return new QuotaState(counted, (long) windowLimit(heardPart), (long) level, heardPart);
    }

    /** Time that a caller refused now is told. */
    public long retryAfterMs(long units, int rank, double heardPart, long nowMs) {
        long waitMs = waitMs(units, rank, heardPart, nowMs);
        lowered &= usedInWindow(nowMs) > windowLimit(1);
        return lowered && spread.isPresent() ? spread.get().delayMs(waitMs) : waitMs;
    }

    /** Estimated time until {@code units} are available. */
    public long waitMs(long units, int rank, double heardPart, long nowMs) {
        long shortfall = shortfall(units, rank, heardPart, nowMs);
        long windowWaitMs = shortfall > 0 ? timeUntilFreedMs(shortfall, heardPart, nowMs) : 0;
        double refillPerMs = Math.max(windowLimit(heardPart), 1) / windowMs;
        return Math.max(windowWaitMs, (long) ((Math.min(units, capacity()) - level) / refillPerMs));
    }

    /** The sooner of the two counters, since what expires from either one frees capacity. */
    private long timeUntilFreedMs(long shortfall, double heardPart, long nowMs) {
        long ownMs = used.timeUntilFreedMs(nowMs, shortfall);
        return Math.min(ownMs, presumed.timeUntilFreedMs(nowMs, (long) (shortfall / heardPart)));
    }

    /** Units that this router has admitted since it started, to be sent to the others. */
    public long ownTotal() {
        return ownTotal;
    }

    /** Units that all routers are known to have admitted in the window, plus the presumed usage. */
    public long usedInWindow(long nowMs) {
        return used.total(nowMs) + presumed.total(nowMs);
    }

    /** Units that all routers have admitted in the window, if known here. */
    public OptionalLong knownUsage(long nowMs) {
        return nowMs >= usageKnownFromMs ? OptionalLong.of(used.total(nowMs)) : OptionalLong.empty();
    }

    /** Records that a router which has been heard from has not admitted anything yet. */
    public void addIdlePeer(String router, long incarnation) {
        peerTotals.putIfAbsent(router, new PeerTotal(incarnation, 0));
    }

    /** Whether nothing is known or presumed to have been admitted in the window. */
    public boolean isUnused(long nowMs) {
        return usedInWindow(nowMs) <= 0;
    }

    /** Forgets a router; its next total counts as none of its usage since then. */
    public void forgetPeer(String router) {
        peerTotals.remove(router);
    }

    /** Number of other routers whose totals are kept. */
    public int peerCount() {
        return peerTotals.size();
    }

    /**
     * Applies another router's running total. A total falls when calls are refunded, and if the router has forgotten
     * the quota meanwhile; no more than the usage in the window is taken back.
     *
     * @param router the router
     * @param incarnation a number that differs at each start of that router
     * @param total units that it has admitted since that start
     * @param window units that it knows all routers to have admitted in the window, if it knows
     */
    public void heard(String router, long incarnation, long total, OptionalLong window, long nowMs) {
        PeerTotal before = peerTotals.put(router, new PeerTotal(incarnation, total));
        if (window.isPresent() && nowMs < usageKnownFromMs) {
            presumed.clear();
            used.clear();
            used.spread(nowMs, window.getAsLong());
            // The peer may not have received this router's total yet; counting it twice is safer than omitting it.
            used.add(nowMs, ownTotal);
            usageKnownFromMs = nowMs;
        } else if (before != null) {
            long increase = before.incarnation() == incarnation
                    ? Math.max(total - before.total(), -Math.max(0, used.total(nowMs)))
                    : total;
            used.add(nowMs, increase);
            level -= increase;
        } else if (nowMs < usageKnownFromMs) {
            // The peer also started within this window, so its whole total is beyond the usage presumed here. If it
            // were not counted, each restarted router would let the remainder be spent once more.
            used.add(nowMs, total);
            level -= total;
        }
    }
}
