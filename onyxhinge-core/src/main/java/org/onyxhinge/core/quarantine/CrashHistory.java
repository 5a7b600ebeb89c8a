package org.onyxhinge.core.quarantine;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The crashes of targets that one suspect was involved in, without those that an answer has refuted. */
final class CrashHistory {

    private final Map<String, Long> atMsByIncarnation = new HashMap<>();

    /** Adds a crash. Routers report the same one with times that differ; the latest counts. */
    void add(String incarnation, long atMs) {
        atMsByIncarnation.merge(incarnation, atMs, Math::max);
    }

    /** Removes the crashes up to a time; true if there were any. */
    boolean removeUntil(long ms) {
        return atMsByIncarnation.values().removeIf(atMs -> atMs <= ms);
    }

    boolean isEmpty() {
        return atMsByIncarnation.isEmpty();
    }

    int size() {
        return atMsByIncarnation.size();
    }

    /** Number of crashes after a time. */
    int countAfter(long ms) {
        return (int)
                atMsByIncarnation.values().stream().filter(atMs -> atMs > ms).count();
    }

    boolean involves(String incarnation) {
        return atMsByIncarnation.containsKey(incarnation);
    }

    Collection<String> incarnations() {
        return atMsByIncarnation.keySet();
    }

    /** Crash times by incarnation. */
    Map<String, Long> all() {
        return Collections.unmodifiableMap(atMsByIncarnation);
    }

    /** When the crash was that has {@code newer} newer ones. There must be so many. */
    long newestAtMs(int newer) {
        return atMsByIncarnation.values().stream()
                .sorted(Collections.reverseOrder())
                .skip(newer)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Number of distinct times of crashes of the chosen incarnations.
     *
     * @param distanceMs crashes that follow one another sooner count as one
     */
    int distinctTimes(Predicate<String> incarnations, long distanceMs) {
        int count = 0;
        long lastMs = 0;
        for (long atMs : atMsByIncarnation.entrySet().stream()
                .filter(e -> incarnations.test(e.getKey()))
                .map(Map.Entry::getValue)
                .sorted()
                .toList()) {
            if (count == 0 || atMs - lastMs >= distanceMs) {
                count++;
                lastMs = atMs;
            }
        }
        return count;
    }
}
