package org.onyxhinge.core.schedule;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * How a router picks an engine and whether it holds work back. {@link EarliestFirstToken} is the
 * product's policy. The other two are baselines for the load tool: they hand every request to an
 * engine at once and leave the waiting to the engine's own first-come queue, as a plain balancer does.
 */
public sealed interface RoutingPolicy {

    /** The value of the setting {@code [scheduler] policy} that names this policy. */
    String settingName();

    /**
     * Holds work beyond each engine's batch size in queues by tier and sends a request to the engine
     * with the earliest estimated first token, refusing at once what cannot start in time.
     */
    record EarliestFirstToken() implements RoutingPolicy {
        @Override
        public String settingName() {
            return "earliest_first_token";
        }
    }

    /** Baseline: the engine with the fewest requests in progress, as far as this router knows. */
    record LeastOutstanding() implements RoutingPolicy {
        @Override
        public String settingName() {
            return "least_outstanding";
        }
    }

    /** Baseline: each engine in turn. */
    record RoundRobin() implements RoutingPolicy {
        @Override
        public String settingName() {
            return "round_robin";
        }
    }

    /** Every policy, the product's own first. */
    static RoutingPolicy[] all() {
        return new RoutingPolicy[] {new EarliestFirstToken(), new LeastOutstanding(), new RoundRobin()};
    }

    /** The setting values of every policy, for messages. */
    static List<String> settingNames() {
        return Arrays.stream(all()).map(RoutingPolicy::settingName).toList();
    }

    /** The policy a setting names, or empty. */
    static Optional<RoutingPolicy> ofSetting(String name) {
        String wanted = name.trim().toLowerCase(Locale.ROOT);
        return Arrays.stream(all()).filter(p -> p.settingName().equals(wanted)).findFirst();
    }
}
