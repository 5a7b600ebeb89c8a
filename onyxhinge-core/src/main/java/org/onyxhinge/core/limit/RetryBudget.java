package org.onyxhinge.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits the retries of a service's requests on other targets, across all routers and without communication between
 * them: each router applies the shared ratio only to the requests that it received itself, and uses an equal part of
 * the fixed allowance. This prevents retry storms on a failing service (Google SRE book, chapter 22, "retry budget").
 */
public final class RetryBudget {

    /** Fraction of the bound that is spent; the rest covers windows that other routers align differently. */
    private static final double SPENDABLE_FRACTION = 0.7;

    private final Map<String, SlidingWindowCounter> requests = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retries = new HashMap<>();
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
     * @param ratio retries allowed per request
     * @param allowance retries allowed in a window in addition to the ratio, over all routers
     * @param windowMs length of the window
     */
    public static RetryBudget create(double ratio, double allowance, long windowMs) {
        return new RetryBudget(ratio, allowance, windowMs);
    }

    /** Forgets all services but those given. */
    public void retain(Set<String> services) {
        requests.keySet().retainAll(services);
        retries.keySet().retainAll(services);
    }

    /** Number of services with requests or retries. */
    public int size() {
        return Math.max(requests.size(), retries.size());
    }

    /** Counts a caller's request for a service. */
    public void countRequest(String service, long nowMs) {
        count(requests, service).add(nowMs);
    }

    /**
     * Takes one retry, if the budget allows it.
     *
     * @param routers number of routers that share the allowance, including this one
     */
    public boolean tryRetry(String service, int routers, long nowMs) {
        double fixed = Math.floor(allowance * SPENDABLE_FRACTION / Math.max(1, routers));
        double bound = ratio * SPENDABLE_FRACTION * count(requests, service).total(nowMs) + fixed;
        SlidingWindowCounter spent = count(retries, service);
        if (spent.total(nowMs) + 1 > bound) {
            return false;
        }
        spent.add(nowMs);
        return true;
    }

    private SlidingWindowCounter count(Map<String, SlidingWindowCounter> counts, String service) {
        return counts.computeIfAbsent(service, s -> SlidingWindowCounter.over(windowMs));
    }
}
