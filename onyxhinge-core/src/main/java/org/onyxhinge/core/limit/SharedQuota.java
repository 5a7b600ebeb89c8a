package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * A workspace's quota, shared by all routers: in any window, the rate times the window plus the burst. A
 * token bucket that refills evenly to the same sum keeps use within the window even, so that what is not
 * known of it after a restart can be taken as even too.
 * Each router tells the others the running total of what it has let through and counts theirs with its
 * own. A router that should be there and isn't heard may be spending its equal part unseen, so the limit
 * is then only the part of those that are heard; both sides of a partition together stay within it.
 */
public final class SharedQuota {

    private static final double MS_PER_SECOND = 1_000.0;

    /**
     * A less urgent call must leave room for this many more of its size for each rank below the first, so
     * that a workspace near its limit spends the rest on what it ranks first.
     */
    private static final int ROOM_PER_RANK = 20;

    /**
     * Each rank may use this part of what its workspace uses, whatever the more urgent ones ask for, so that none is
     * shut out while the workspace is at its limit.
     */
    private static final double LEAST_PART = 0.1;

    /**
     * Capacity of the bucket in bursts: a burst of callers, beside one large call, which may count as much as
     * a second of a small workspace's rate.
     */
    private static final int BUCKET_BURSTS = 2;

    /** Part of the limit that is taken as used after a restart; the rest serves until the first of it falls away. */
    private static final double PRESUMED_PART = 0.9;

    private final Map<String, Heard> heard = new HashMap<>();
    private final long windowMs;
    private final SlidingCount used;
    private final Map<Integer, SlidingCount> ownByRank = new HashMap<>();
    /** What may have been used before this router started, by whichever router. */
    private final SlidingCount presumed;

    private double perSecond;
    private double burst;
    private long knownFromMs;
    private long ownTotal;
    private double level;
    private long refilledAtMs;

    /** What a router last said: which of its starts that was, and its running total. */
    private record Heard(long life, long total) {}

    private SharedQuota(double perSecond, double burst, long windowMs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.windowMs = windowMs;
        this.used = SlidingCount.over(windowMs);
        this.presumed = SlidingCount.over(windowMs);
    }

    /**
     * Creates a quota; {@code perSecond} and {@code burst} are over all routers.
     *
     * @param past what was used before. Where that is unknown, most of the limit is taken as used and falls away evenly
     *     over a window, faster than a workspace within its limit uses it up, until a router that knows says what was
     *     used. Where it is recorded, only what may have been used since is taken as used beside it
     */
    public static SharedQuota create(double perSecond, double burst, long windowMs, PastUse past, long nowMs) {
        SharedQuota quota = new SharedQuota(perSecond, burst, windowMs);
        quota.knownFromMs = past instanceof PastUse.None ? nowMs : nowMs + windowMs;
        quota.refilledAtMs = nowMs;
        switch (past) {
            case PastUse.None n -> quota.level = quota.capacity();
            case PastUse.Unknown u -> {
                quota.level = quota.capacity() / 2;
                quota.presumed.spread(nowMs, (long) (quota.limit(1) * PRESUMED_PART));
            }
            case PastUse.Recorded r -> {
                quota.level = quota.capacity() / 2;
                quota.presumed.spread(nowMs - r.agoMs(), r.units());
                // What else may have been used since: all that flowed in meanwhile, and a full bucket at the end.
                long flowed = (long) (quota.limit(1) * r.unseenMs() / windowMs);
                quota.presumed.spread(nowMs, flowed, r.unseenMs());
                quota.presumed.add(nowMs, Math.max(0, (long) quota.capacity() - r.toleratedUnits()));
            }
        }
        return quota;
    }

    /** Puts a new limit in force. */
    public void limit(double newPerSecond, double newBurst) {
        perSecond = newPerSecond;
        burst = newBurst;
    }

    private double capacity() {
        return BUCKET_BURSTS * burst;
    }

    private void refill(double heardPart, long nowMs) {
        level = Math.min(capacity(), level + (nowMs - refilledAtMs) * limit(heardPart) / windowMs);
        refilledAtMs = nowMs;
    }

    private double limit(double heardPart) {
        return (perSecond * windowMs / MS_PER_SECOND + burst) * heardPart;
    }

    /**
     * Takes {@code units}, if the quota holds them.
     *
     * @param rank the call's rank among its workspace's, 0 the most urgent
     * @param heardPart routers heard lately against routers there should be, this one counted in both
     */
    public boolean tryTake(long units, int rank, double heardPart, long nowMs) {
        refill(heardPart, nowMs);
        if (missing(units, rank, heardPart, nowMs) > 0 || level < Math.min(units, capacity())) {
            return false;
        }
        level -= units;
        used.add(nowMs, units);
        ownByRank.computeIfAbsent(rank, r -> SlidingCount.over(windowMs)).add(nowMs, units);
        ownTotal += units;
        return true;
    }

    private long missing(long units, int rank, double heardPart, long nowMs) {
        // Routers that do not hear each other divide what is left beside the presumed use, as they do the limit.
        double room = limit(heardPart) - presumed.total(nowMs) * heardPart - used.total(nowMs);
        // A call larger than the limit may go when nothing is used, or it could never go.
        double wanted = Math.min(units, limit(heardPart));
        // While much is only presumed as used, a workspace is probably far from its limit and has no rest to share out.
        boolean mayUseTheRest = nowMs < knownFromMs || isBelowItsPart(units, rank, nowMs);
        double kept = mayUseTheRest ? 0 : Math.min((double) rank * ROOM_PER_RANK * units, limit(heardPart) / 2);
        return (long) Math.ceil(wanted + kept - room);
    }

    private boolean isBelowItsPart(long units, int rank, long nowMs) {
        long all = 0;
        for (SlidingCount count : ownByRank.values()) {
            all += count.total(nowMs);
        }
        SlidingCount own = ownByRank.get(rank);
        return (own == null ? 0 : own.total(nowMs)) + units <= LEAST_PART * (all + units);
    }

    /** Gives back what a call took that never ran. */
    public void giveBack(long units, int rank, long nowMs) {
        level += units;
        used.add(nowMs, -units);
        ownByRank.computeIfAbsent(rank, r -> SlidingCount.over(windowMs)).add(nowMs, -units);
        ownTotal -= units;
    }

    /** What decides about a call now, for logs. */
    public QuotaState state(double heardPart, long nowMs) {
        long counted = used.total(nowMs) + (long) (presumed.total(nowMs) * heardPart);
        return new QuotaState(counted, (long) limit(heardPart), (long) level, heardPart);
    }

    /** Time until {@code units} will probably be there. */
    public long waitMs(long units, int rank, double heardPart, long nowMs) {
        long missing = missing(units, rank, heardPart, nowMs);
        long windowWaitMs = missing > 0 ? untilLeftMs(missing, heardPart, nowMs) : 0;
        double perMs = Math.max(limit(heardPart), 1) / windowMs;
        return Math.max(windowWaitMs, (long) ((Math.min(units, capacity()) - level) / perMs));
    }

    /** The sooner of the two counts: what has left either of them makes room. */
    private long untilLeftMs(long missing, double heardPart, long nowMs) {
        long ownMs = used.untilLeftMs(nowMs, missing);
        return Math.min(ownMs, presumed.untilLeftMs(nowMs, (long) (missing / heardPart)));
    }

    /** What this router has let through since it started, for the others. */
    public long ownTotal() {
        return ownTotal;
    }

    /** What all routers have let through in the window as far as is known here, and what is presumed beside it. */
    public long usedInWindow(long nowMs) {
        return used.total(nowMs) + presumed.total(nowMs);
    }

    /** What all routers have let through in the window, if that is known here. */
    public OptionalLong knownWindow(long nowMs) {
        return nowMs >= knownFromMs ? OptionalLong.of(used.total(nowMs)) : OptionalLong.empty();
    }

    /** Notes that a router which has been heard has let nothing through yet. */
    public void unusedBy(String router, long life) {
        heard.putIfAbsent(router, new Heard(life, 0));
    }

    /**
     * Takes another router's running total into account.
     *
     * @param router the router
     * @param life a number that differs at each start of it
     * @param total what it has let through since that start
     * @param window what it knows that all routers let through in the window, if it does
     */
    public void heard(String router, long life, long total, OptionalLong window, long nowMs) {
        Heard before = heard.put(router, new Heard(life, total));
        if (window.isPresent() && nowMs < knownFromMs) {
            presumed.clear();
            used.clear();
            used.spread(nowMs, window.getAsLong());
            // The other may not have heard of this yet; it is counted twice rather than not at all.
            used.add(nowMs, ownTotal);
            knownFromMs = nowMs;
        } else if (before != null) {
            long more = before.life() == life ? total - before.total() : total;
            used.add(nowMs, more);
            level -= more;
        } else if (nowMs < knownFromMs) {
            // It has started within this window as well, so all of its total lies beside what is presumed here. Not
            // counted, each router that comes back would spend the rest once more.
            used.add(nowMs, total);
            level -= total;
        }
    }
}
