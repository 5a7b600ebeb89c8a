package org.onyxhinge.core.model;

/**
 * A caller's request after parsing and validation.
 *
 * @param requestId the router-assigned id, unique across routers
 * @param workspace workspace name
 * @param tier the request's tier
 * @param service service name
 * @param pool pool that serves the service
 * @param promptTokens prompt length in tokens
 * @param maxTokens maximum number of tokens to generate
 * @param prefixHash hash of the prompt's shared prefix (the system message), for prefix-cache affinity; 0 when there is
 *     none
 * @param prefixTokens length of that prefix in tokens
 * @param idempotencyKey the caller's idempotency key, or empty
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

    /** The latest time at which the first token reaches the caller within the tier's budget. */
    public long firstTokenDueAtMs() {
        return arrivedAtMs + tier.firstTokenBudgetMs();
    }

    /** The latest time at which the last token reaches the caller within the tier's deadline. */
    public long dueAtMs() {
        return arrivedAtMs + tier.deadlineMs();
    }
}
