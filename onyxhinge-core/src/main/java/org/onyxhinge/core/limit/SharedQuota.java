package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

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
     * Capacity of the bucket in bursts: a burst of callers, beside one large call, which may count as much as
     * a second of a small workspace's rate.
     */
    private static final int BUCKET_BURSTS = 2;

    private final Map<String, Long> heardTotals = new HashMap<>();
    private final long windowMs;
    private final SlidingCount used;
    private final SlidingCount ownUsed;
    private double perSecond;
    private double burst;
    private long ownTotal;
    private double level;
    private long refilledAtMs;

    private SharedQuota(double perSecond, double burst, long windowMs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.windowMs = windowMs;
        this.used = SlidingCount.over(windowMs);
        this.ownUsed = SlidingCount.over(windowMs);
    }

    /**
     * Creates a quota; {@code perSecond} and {@code burst} are over all routers.
     *
     * @param earlierPart the part of the limit that this router may have used before it was restarted. It
     *     is taken as used, also by the others, and falls away evenly over a window: faster than a workspace
     *     within its limit uses it up, so that only those beyond it notice
     */
    public static SharedQuota create(double perSecond, double burst, long windowMs, double earlierPart, long nowMs) {
        SharedQuota quota = new SharedQuota(perSecond, burst, windowMs);
        long earlier = (long) (quota.limit(1) * earlierPart);
        quota.used.spread(nowMs, earlier);
        quota.ownUsed.spread(nowMs, earlier);
        quota.level = quota.capacity() / (earlierPart > 0 ? 2 : 1);
        quota.refilledAtMs = nowMs;
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
        ownUsed.add(nowMs, units);
        ownTotal += units;
        return true;
    }

    private long missing(long units, int rank, double heardPart, long nowMs) {
        double room = limit(heardPart) - used.total(nowMs);
        // A call larger than the limit may go when nothing is used, or it could never go.
        double wanted = Math.min(units, limit(heardPart));
        double kept = Math.min((double) rank * ROOM_PER_RANK * units, limit(heardPart) / 2);
        return (long) Math.ceil(wanted + kept - room);
    }

    /** Gives back what a call took that never ran. */
    public void giveBack(long units, long nowMs) {
        level += units;
        used.add(nowMs, -units);
        ownUsed.add(nowMs, -units);
        ownTotal -= units;
    }

    /** Time until {@code units} will probably be there. */
    public long waitMs(long units, int rank, double heardPart, long nowMs) {
        long missing = missing(units, rank, heardPart, nowMs);
        long windowWaitMs = missing > 0 ? used.untilLeftMs(nowMs, missing) : 0;
        double perMs = Math.max(limit(heardPart), 1) / windowMs;
        return Math.max(windowWaitMs, (long) ((Math.min(units, capacity()) - level) / perMs));
    }

    /** What this router has let through since it started, for the others. */
    public long ownTotal() {
        return ownTotal;
    }

    /** What this router has let through in the window, for others that hear it for the first time. */
    public long ownRecent(long nowMs) {
        return ownUsed.total(nowMs);
    }

    /**
     * Takes another router's running total into account.
     *
     * @param routerLife the router and its start, so that a restarted one begins anew
     * @param recent what it used in its window; counts where it is heard for the first time
     */
    public void heard(String routerLife, long total, long recent, long nowMs) {
        Long before = heardTotals.put(routerLife, total);
        if (before == null) {
            used.spread(nowMs, recent);
        } else {
            used.add(nowMs, total - before);
            level -= total - before;
        }
    }

    /** Forgets routers that are gone. */
    public void keepOnly(Set<String> routerLives) {
        heardTotals.keySet().retainAll(routerLives);
    }
}
