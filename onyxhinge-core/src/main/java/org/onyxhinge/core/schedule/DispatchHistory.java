package org.onyxhinge.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the latest requests handed to an engine, to assert the brief's promise that each is
 * dispatched at most once. Kept only while {@link Invariants} are checked.
 */
final class DispatchHistory {

    private static final int CAPACITY = 100_000;

    private final Map<String, Boolean> requestIds = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Notes a dispatch; a second one of the same request breaks the promise. */
    void record(String requestId) {
        if (Invariants.enabled()) {
            Invariants.check(requestIds.put(requestId, Boolean.TRUE) == null, "dispatched at most once", requestId);
        }
    }

    /** Undoes a dispatch of which no byte was sent. */
    void takeBack(String requestId) {
        requestIds.remove(requestId);
    }
}
