package org.onyxhinge.core.schedule;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * How a router selects an engine and whether it queues requests itself. {@link EarliestFirstToken} is the production
 * policy. The other two are baselines for the load tool: they send every request to an engine at once and leave
 * queueing to the engine's own first-come-first-served queue, as a plain load balancer does.
 */
public sealed interface RoutingPolicy {

    /** The value of the setting {@code [scheduler] policy} that names this policy. */
    String settingName();

    /**
     * Queues work beyond each engine's batch size by tier, sends a request to the engine with the earliest estimated
     * first token, and immediately refuses what cannot start in time.
     */
    record EarliestFirstToken() implements RoutingPolicy {
        @Override
        public String settingName() {
            return "earliest_first_token";
        }
    }

    /** Baseline: the engine with the fewest requests in progress, as far as known to this router. */
    record LeastOutstanding() implements RoutingPolicy {
        @Override
        public String settingName() {
            return "least_outstanding";
        }
    }

    /** Baseline: the engines in rotation. */
    record RoundRobin() implements RoutingPolicy {
        @Override
        public String settingName() {
            return "round_robin";
        }
    }

    /** All policies, the production policy first. */
    static RoutingPolicy[] all() {
        return new RoutingPolicy[] {new EarliestFirstToken(), new LeastOutstanding(), new RoundRobin()};
    }

    /** The setting values of all policies, for error messages. */
    static List<String> settingNames() {
        return Arrays.stream(all()).map(RoutingPolicy::settingName).toList();
    }

    /** The policy with this setting value, or empty. */
    static Optional<RoutingPolicy> ofSetting(String name) {
        String wanted = name.trim().toLowerCase(Locale.ROOT);
        return Arrays.stream(all()).filter(p -> p.settingName().equals(wanted)).findFirst();
    }
}
