package org.onyxhinge.core.limit;

import java.util.Map;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Marks requests that arrive again and again before the time that their callers were told, so that they yield to those
 * of callers that wait. Only this request is marked, not other requests of the same caller. The router does not know of
 * arrivals at other routers.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class RepeatLimits {

    /** More than the refusals of one router within the retention time in an overload of a thousand per second. */
    private static final int MAX_REQUESTS = 16_384;

    /** Time after the latest refusal that a mark lasts: callers give up within about this time. */
    private static final long RETENTION_MS = 10_000;

    /** An earlier arrival is early; the rest is network delay and rounding of the time told. */
    private static final long TOLERANCE_MS = 50;

    /** Early arrivals without a mark: a caller may lose its connection once and retry at once. */
    private static final int UNMARKED_EARLY_ARRIVALS = 1;

    /** Part of its remaining time up to which a caller honours the time that it is told. */
    private static final int HONOURED_PART = 3;

    private final Map<Long, Refused> byKey = BoundedMap.dropOldest(MAX_REQUESTS);

    /** Difference between the network delays of two attempts; a larger one means another caller. */
    private static final long DEADLINE_TOLERANCE_MS = 100;

    /** A refused request: when its caller should retry and stops waiting, and how often it arrived early. */
    private record Refused(long retryAtMs, long deadlineMs, long expiresAtMs, int early) {}

    private RepeatLimits() {}

    /** Creates an instance without requests. */
    public static RepeatLimits create() {
        return new RepeatLimits();
    }

    /**
     * Records the arrival of a request.
     *
     * @param deadlineMs when the caller stops waiting
     * @return how often it has arrived early if it is marked as a repeat, otherwise 0
     */
    public int arrived(long key, long deadlineMs, long nowMs) {
        Refused known = byKey.get(key);
        if (known == null || Math.abs(known.deadlineMs() - deadlineMs) > DEADLINE_TOLERANCE_MS) {
            return 0;
        }
        byKey.remove(key);
        if (nowMs >= known.expiresAtMs() || nowMs >= known.retryAtMs() - TOLERANCE_MS) {
            return 0;
        }
        int early = known.early() + 1;
        byKey.put(key, new Refused(known.retryAtMs(), known.deadlineMs(), known.expiresAtMs(), early));
        return early > UNMARKED_EARLY_ARRIVALS ? early : 0;
    }

    /**
     * Records that a request is refused.
     *
     * @param retryAfterMs the time that its caller is told
     * @param deadlineMs when the caller stops waiting
     */
    public void refused(long key, long retryAfterMs, long deadlineMs, long nowMs) {
        long retryAtMs = nowMs + Math.min(retryAfterMs, Math.max(0, deadlineMs - nowMs) / HONOURED_PART);
        Refused known = byKey.remove(key);
        boolean sameCaller = known != null && Math.abs(known.deadlineMs() - deadlineMs) <= DEADLINE_TOLERANCE_MS;
        byKey.put(key, new Refused(retryAtMs, deadlineMs, nowMs + RETENTION_MS, sameCaller ? known.early() : 0));
    }

    /** Number of requests on record. */
    public int size() {
        return byKey.size();
    }
}
