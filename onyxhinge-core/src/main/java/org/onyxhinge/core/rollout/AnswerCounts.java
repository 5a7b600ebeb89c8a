package org.onyxhinge.core.rollout;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Answers counted by all routers during a rollout. Every router reports the counts since its own start; counts of a
 * router that has ended remain in the sum.
 */
final class AnswerCounts {

    private final Map<AnswerCell, AnswerCount> own = new HashMap<>();
    private final Map<String, Map<AnswerCell, AnswerCount>> bySource = new HashMap<>();
    private final Map<AnswerCell, AnswerCount> totals = new HashMap<>();

    /** Counts an answer that this router received. */
    void add(AnswerCell cell, boolean bad) {
        AnswerCount one = new AnswerCount(1, bad ? 1 : 0);
        own.merge(cell, one, AnswerCount::plus);
        totals.merge(cell, one, AnswerCount::plus);
    }

    /**
     * Applies counts reported by another router. A report that arrives late changes nothing.
     *
     * @param source identifies the start of the router
     */
    void report(String source, Map<AnswerCell, AnswerCount> counts) {
        Map<AnswerCell, AnswerCount> known = bySource.computeIfAbsent(source, s -> new HashMap<>());
        counts.forEach((cell, count) -> {
            AnswerCount before = known.getOrDefault(cell, AnswerCount.NONE);
            if (count.answers() > before.answers()) {
                known.put(cell, count);
                totals.merge(cell, count.minus(before), AnswerCount::plus);
            }
        });
    }

    /** The counts of this router since its start. */
    Map<AnswerCell, AnswerCount> own() {
        return Collections.unmodifiableMap(own);
    }

    /** The counts of all routers. */
    Map<AnswerCell, AnswerCount> totals() {
        return Collections.unmodifiableMap(totals);
    }

    /** The sum over some of the cells, for all routers. */
    AnswerCount sum(Predicate<AnswerCell> included) {
        return totals.entrySet().stream()
                .filter(e -> included.test(e.getKey()))
                .map(Map.Entry::getValue)
                .reduce(AnswerCount.NONE, AnswerCount::plus);
    }
}
