package org.onyxhinge.router.connection;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The request ids that a connection has carried lately. A second response to one of these calls would count as that to
 * another call of this id. Only hashes are kept; two ids with one hash cost a connection.
 */
final class CarriedIds {

    /** Bounds the memory of a connection to about 30 KiB; one that has carried so many lately is replaced. */
    static final int MAX_IDS = 512;

    /** A second response comes sooner than this after the call. */
    static final long MEMORY_MS = SurplusResponses.MEMORY_MS;

    private final Map<Integer, Long> sentAtMs = new LinkedHashMap<>();

    void add(String requestId, long nowMs) {
        sentAtMs.remove(requestId.hashCode());
        sentAtMs.put(requestId.hashCode(), nowMs);
        Iterator<Long> oldest = sentAtMs.values().iterator();
        while (nowMs - oldest.next() >= MEMORY_MS) {
            oldest.remove();
        }
    }

    /** Whether no second response to an earlier call could be taken for that to a call of this id. */
    boolean admits(String requestId, long nowMs) {
        Long atMs = sentAtMs.get(requestId.hashCode());
        return sentAtMs.size() < MAX_IDS && (atMs == null || nowMs - atMs >= MEMORY_MS);
    }
}
