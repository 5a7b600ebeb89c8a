package org.onyxhinge.core.model;

/**
 * What the router knows about one caller's request once it has been parsed and checked.
 *
 * @param requestId the router-assigned id, unique across routers
 * @param workspace workspace name
 * @param tier the request's tier
 * @param service service name
 * @param pool pool that serves the service
 * @param promptTokens prompt length in tokens
 * @param maxTokens most tokens the caller wants generated
 * @param prefixHash hash of the prompt's shared leading part (the system message), for prefix-cache
 *     affinity; 0 when there is none
 * @param prefixTokens length in tokens of that shared leading part
 * @param idempotencyKey the caller's key, or empty
 * @param nonIdempotent true when the request must run at most once
 * @param arrivedAtMs arrival time on the router's monotonic clock
 */
public record RequestSpec(
        String requestId,
        String workspace,
        Tier tier,
        String service,
        String pool,
        int promptTokens,
        int maxTokens,
        long prefixHash,
        int prefixTokens,
        String idempotencyKey,
        boolean nonIdempotent,
        long arrivedAtMs) {

    /** The latest time the first token may reach the caller and still be in time. */
    public long firstTokenDueAtMs() {
        return arrivedAtMs + tier.firstTokenBudgetMs();
    }

    /** The latest time the last token may reach the caller and still be in time. */
    public long dueAtMs() {
        return arrivedAtMs + tier.deadlineMs();
    }
}
