package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often a service's requests are sent to a further target, over all routers together and
 * without a message between them: each router spends the shared ratio only on the requests it took
 * itself, and an equal part of the fixed allowance. A retry storm on an ailing service is what this
 * prevents (Google SRE book, chapter 22, "retry budget").
 */
public final class RetryBudget {

    /** The part of the bound that is spent; the rest covers windows that are cut differently elsewhere. */
    private static final double SPENT_PART = 0.7;

    private final Map<String, SlidingCount> requests = new HashMap<>();
    private final Map<String, SlidingCount> repeats = new HashMap<>();
    private final double ratio;
    private final double allowance;
    private final long windowMs;

    private RetryBudget(double ratio, double allowance, long windowMs) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowMs = windowMs;
    }

    /**
     * Creates a budget.
     *
     * @param ratio repeats allowed for each request
     * @param allowance repeats allowed beside the ratio in a window, over all routers
     * @param windowMs the window
     */
    public static RetryBudget create(double ratio, double allowance, long windowMs) {
        return new RetryBudget(ratio, allowance, windowMs);
    }

    /** Counts a caller's request for a service. */
    public void requested(String service, long nowMs) {
        count(requests, service).add(nowMs);
    }

    /**
     * Takes one repeat, if the budget allows it.
     *
     * @param routers routers that share the allowance, this one included
     */
    public boolean tryRepeat(String service, int routers, long nowMs) {
        double fixed = Math.floor(allowance * SPENT_PART / Math.max(1, routers));
        double bound = ratio * SPENT_PART * count(requests, service).total(nowMs) + fixed;
        SlidingCount spent = count(repeats, service);
        if (spent.total(nowMs) + 1 > bound) {
            return false;
        }
        spent.add(nowMs);
        return true;
    }

    private SlidingCount count(Map<String, SlidingCount> counts, String service) {
        return counts.computeIfAbsent(service, s -> SlidingCount.over(windowMs));
    }
}
