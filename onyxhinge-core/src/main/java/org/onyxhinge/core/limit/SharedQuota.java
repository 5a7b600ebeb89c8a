package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A workspace's quota as a token bucket that all routers draw from. Each router tells the others the
 * running total of what it has let through; the bucket falls by its own use at once and by theirs when
 * it is heard. A router that should be there and isn't heard may be spending its equal part unseen, so
 * the bucket then refills only at the part of the heard ones. What is spent between two messages can
 * overdraw the bucket; it then stays empty until that is refilled, so nothing is spent twice for long.
 */
public final class SharedQuota {

    private static final double MS_PER_SECOND = 1_000.0;

    /** A new bucket starts with this part of its burst: what was spent before a restart is not known. */
    private static final double FIRST_FILL = 0.5;

    private final Map<String, Long> heardTotals = new HashMap<>();
    private double perSecond;
    private double burst;
    private double level;
    private long refilledAtMs;
    private long ownTotal;

    private SharedQuota(double perSecond, double burst, long nowMs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.level = burst * FIRST_FILL;
        this.refilledAtMs = nowMs;
    }

    /** Creates a bucket; {@code perSecond} and {@code burst} are over all routers. */
    public static SharedQuota create(double perSecond, double burst, long nowMs) {
        return new SharedQuota(perSecond, burst, nowMs);
    }

    /** Puts a new limit in force; a lower burst empties the bucket down to it. */
    public void limit(double newPerSecond, double newBurst, double heardPart, long nowMs) {
        refill(heardPart, nowMs);
        perSecond = newPerSecond;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /**
     * Takes {@code units}, if the bucket holds them.
     *
     * @param heardPart routers heard lately against routers there should be, this one counted in both
     */
    public boolean tryTake(long units, double heardPart, long nowMs) {
        refill(heardPart, nowMs);
        // A call larger than the whole burst may go when the bucket is full, or it could never go.
        if (level < Math.min(units, burst)) {
            return false;
        }
        level -= units;
        ownTotal += units;
        return true;
    }

    /** Gives back what a call took that never ran. */
    public void giveBack(long units) {
        level = Math.min(burst, level + units);
        ownTotal -= units;
    }

    /** Time until {@code units} will be there at the rate in force. */
    public long waitMs(long units, double heardPart) {
        double missing = Math.min(units, burst) - level;
        return (long) Math.ceil(Math.max(0, missing) * MS_PER_SECOND / Math.max(1e-9, perSecond * heardPart));
    }

    /** What this router has let through since it started, for the others. */
    public long ownTotal() {
        return ownTotal;
    }

    /**
     * Takes another router's running total into account. What it had spent before it was first heard is
     * not counted: it may be older than any window.
     *
     * @param routerLife the router and its start, so that a restarted one begins at zero
     */
    public void heard(String routerLife, long total) {
        Long before = heardTotals.put(routerLife, total);
        if (before != null) {
            level = Math.min(burst, level - (total - before));
        }
    }

    /** Forgets routers that are gone. */
    public void keepOnly(Set<String> routerLives) {
        heardTotals.keySet().retainAll(routerLives);
    }

    private void refill(double heardPart, long nowMs) {
        double added = (nowMs - refilledAtMs) * perSecond * heardPart / MS_PER_SECOND;
        level = Math.min(burst, level + added);
        refilledAtMs = nowMs;
    }
}
