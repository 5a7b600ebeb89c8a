package org.onyxhinge.core.place;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Learns the deadline that callers of each route usually send with their first attempt. A retry after a refusal carries
 * only the remaining time, so the difference shows how long the request has already waited, and therefore when its
 * first byte is due.
 *
 * <p>The usual value is a high quantile of the recent deadlines: first attempts outnumber retries, and a few callers
 * use longer deadlines than the rest. At some sites the deadlines of first attempts vary. That spread is measured while
 * no call is refused, when every request is a first attempt, and a deadline within the spread of the usual one counts
 * as a first attempt. The spread is a property of the callers and not of the route, so it is kept as a fraction of the
 * usual deadline and shared by all routes: one router of many sees only a few calls of each route before the first
 * refusal.
 */
public final class CallerDeadlines {

    /** Large enough for a stable quantile, small enough to follow a change of the callers' deadlines within seconds. */
    private static final int WINDOW_SIZE = 64;

    /** Up to a tenth of the callers may use a longer deadline without changing the value. */
    private static final double QUANTILE = 0.9;

    /** Up to a tenth of the apparent first attempts may be retries after a failure elsewhere. */
    private static final double LOW_QUANTILE = 0.1;

    /**
     * Assumes evenly spread deadlines: the minimum lies below the low quantile by a quarter of the distance from the
     * low quantile to the median.
     */
    private static final double LOW_TAIL_FRACTION = 0.25;

    /** Minimum number of first attempts for estimating the spread. */
    private static final int MIN_FIRST_TRIES = 8;

    /** Fixed-point scale of deadlines expressed as fractions of the usual one. */
    private static final long FRACTION_SCALE = 10_000;

    /** Number of samples between two sorts, to amortize the cost. */
    private static final int SORT_INTERVAL = 8;

    /** Time after a refusal within which the refused callers retry; the longest retry delay is 4 s. */
    private static final long RETRY_HORIZON_MS = 5_000;

    private final Map<String, RecentDeadlines> byRoute = new HashMap<>();
    private final RecentDeadlines firstTryFractions = new RecentDeadlines();
    private long lastRefusedAtMs = -RETRY_HORIZON_MS;

    private CallerDeadlines() {}

    /** Creates an instance without samples. */
    public static CallerDeadlines create() {
        return new CallerDeadlines();
    }

    /** The most recent deadlines, and quantiles of them that lag by a few samples. */
    private static final class RecentDeadlines {
        private final long[] values = new long[WINDOW_SIZE];
        private long[] sorted = {};
        private int count;

        void add(long deadlineMs) {
            values[count++ % WINDOW_SIZE] = deadlineMs;
            if (count <= SORT_INTERVAL || count % SORT_INTERVAL == 0) {
                sorted = Arrays.copyOf(values, Math.min(count, WINDOW_SIZE));
                Arrays.sort(sorted);
            }
        }

        long quantile(double fraction) {
            return sorted[(int) ((sorted.length - 1) * fraction)];
        }
    }

    /** Forgets all routes but those given. */
    public void retain(Set<String> routes) {
        byRoute.keySet().retainAll(routes);
    }

    /** Number of routes whose deadlines are known. */
    public int size() {
        return byRoute.size();
    }

    /** Records that a caller is refused and may retry. */
    public void refused(long nowMs) {
        lastRefusedAtMs = nowMs;
    }

    /**
     * Like {@link #waitedBeforeMs(String, long)}, but also learns the spread of first attempts while no call is
     * refused.
     *
     * @return 0 for a first attempt
     */
    public long waitedBeforeMs(String route, long deadlineMs, long nowMs) {
        if (nowMs - lastRefusedAtMs > RETRY_HORIZON_MS) {
            recordFirstTry(route, deadlineMs);
        }
        return waitedBeforeMs(route, deadlineMs);
    }

    /** Records the deadline of a first attempt, made while no call is refused. */
    public void recordFirstTry(String route, long deadlineMs) {
        RecentDeadlines recent = byRoute.get(route);
        if (recent != null) {
            firstTryFractions.add(deadlineMs * FRACTION_SCALE / Math.max(1, recent.quantile(QUANTILE)));
        }
    }

    /** How far the deadlines of first attempts fall below the usual one. */
    private long spreadMs(long usualMs) {
        if (firstTryFractions.count < MIN_FIRST_TRIES) {
            return 0;
        }
        long low = firstTryFractions.quantile(LOW_QUANTILE);
        long min = low - (long) ((firstTryFractions.quantile(0.5) - low) * LOW_TAIL_FRACTION);
        return (firstTryFractions.quantile(QUANTILE) - min) * usualMs / FRACTION_SCALE;
    }

    /**
     * Records a deadline and returns how long the request has probably waited since the caller's first attempt.
     *
     * @return 0 for a first attempt
     */
    public long waitedBeforeMs(String route, long deadlineMs) {
        RecentDeadlines recent = byRoute.computeIfAbsent(route, r -> new RecentDeadlines());
        recent.add(deadlineMs);
        long usualMs = recent.quantile(QUANTILE);
        long belowMs = usualMs - deadlineMs;
        return belowMs <= spreadMs(usualMs) ? 0 : belowMs;
    }
}
