package org.onyxhinge.core.route;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace's API keys, priority and quota.
 *
 * @param name the workspace
 * @param apiKeys API keys of its callers
 * @param priority rank that takes precedence over the route's, if set
 * @param unit unit of the quota
 * @param plainUnits units charged under a token quota for a call without token counts
 * @param quotaPerSecond refill rate of the quota, over all routers; 0 for no limit
 * @param quotaBurst units that may be used at once in addition to the rate
 */
public record WorkspaceAccess(
        String name,
        Set<String> apiKeys,
        OptionalInt priority,
        QuotaUnit unit,
        long plainUnits,
        double quotaPerSecond,
        double quotaBurst) {

    /** Makes a defensive copy of the keys. */
    public WorkspaceAccess {
        apiKeys = Set.copyOf(apiKeys);
    }

    /** True when the workspace has a quota. */
    public boolean limited() {
        return quotaPerSecond > 0;
    }

    /**
     * The units charged for a call.
     *
     * @param tokens prompt tokens plus the maximum number of generated tokens; negative when the call has no token
     *     counts
     */
    public long units(long tokens) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> tokens >= 0 ? tokens : plainUnits;
        };
    }
}
