package org.onyxhinge.core.admit;

import java.util.Map;
import java.util.Optional;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Requests that were refused recently, here or at routers that the same callers reach. A retry has a new id and arrives
 * on a new connection, usually at another router. It is recognized by what it requests and by its deadline, which stays
 * the same point in time. Without this a router can only guess from the remaining time, and where callers' deadlines
 * vary, most retries look like first attempts that can still be on time.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 */
public final class RefusedRequests {

    /** More than the refusals of a data centre within the retention time, in an overload of a thousand per second. */
    private static final int MAX_REFUSALS = 16_384;

    /** Callers retry within a third of their remaining time, which is a few seconds. */
    private static final long RETENTION_MS = 10_000;

    /** Difference between the network delays of two attempts, and of the message between two routers. */
    private static final long DEADLINE_TOLERANCE_MS = 100;

    private final Map<Integer, Refusal> byKey = BoundedMap.dropOldest(MAX_REFUSALS);

    private RefusedRequests() {}

    /** Creates an empty instance. */
    public static RefusedRequests create() {
        return new RefusedRequests();
    }

    /** Records a refusal. A later one of the same request replaces it. */
    public void add(Refusal refusal) {
        byKey.remove(refusal.key());
        byKey.put(refusal.key(), refusal);
    }

    /**
     * Returns the refusal that an arriving request is a retry of, and removes it; empty for a first attempt.
     *
     * @param deadlineMs when the caller stops waiting
     */
    public Optional<Refusal> takeRetryOf(int key, long deadlineMs, long nowMs) {
        Refusal known = byKey.get(key);
        if (known == null || Math.abs(known.deadlineMs() - deadlineMs) > DEADLINE_TOLERANCE_MS) {
            return Optional.empty();
        }
        byKey.remove(key);
        return Optional.of(known).filter(r -> nowMs <= r.retryAtMs() + RETENTION_MS);
    }

    /** Number of refusals on record. */
    public int size() {
        return byKey.size();
    }
}
