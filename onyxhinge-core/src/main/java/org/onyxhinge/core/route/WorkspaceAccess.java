package org.onyxhinge.core.route;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace's API keys, rank and quota.
 *
 * @param name the workspace
 * @param apiKeys keys its callers send
 * @param priority rank that goes before the route's, if it has one
 * @param unit what the quota counts
 * @param plainUnits what a call that names no tokens counts under a token quota
 * @param quotaPerSecond refill rate of the quota, over all routers; 0 for no limit
 * @param quotaBurst units it may use at once beside the rate
 */
public record WorkspaceAccess(
        String name,
        Set<String> apiKeys,
        OptionalInt priority,
        QuotaUnit unit,
        long plainUnits,
        double quotaPerSecond,
        double quotaBurst) {

    /** Copies the keys. */
    public WorkspaceAccess {
        apiKeys = Set.copyOf(apiKeys);
    }

    /** True when it has a limit. */
    public boolean limited() {
        return quotaPerSecond > 0;
    }

    /**
     * The units a call counts.
     *
     * @param tokens prompt tokens plus the most tokens it may generate; negative when it names none
     */
    public long units(long tokens) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> tokens >= 0 ? tokens : plainUnits;
        };
    }
}
