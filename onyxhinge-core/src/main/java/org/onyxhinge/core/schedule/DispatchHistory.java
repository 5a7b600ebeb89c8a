package org.onyxhinge.core.schedule;

import java.util.Map;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Records the most recent dispatches to assert the invariant that each request is dispatched at most once. Kept only
 * while {@link Invariants} are enabled.
 */
final class DispatchHistory {

    private static final int CAPACITY = 100_000;

    private final Map<String, Boolean> requestIds = BoundedMap.dropOldest(CAPACITY);

    /** Records a dispatch; a second dispatch of the same request violates the invariant. */
    void record(String requestId) {
        if (Invariants.enabled()) {
            Invariants.check(requestIds.put(requestId, Boolean.TRUE) == null, "dispatched at most once", requestId);
        }
    }

    /** Removes a dispatch of which no byte was sent. */
    void undoDispatch(String requestId) {
        requestIds.remove(requestId);
    }
}
