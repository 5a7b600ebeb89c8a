package org.onyxhinge.router;

import io.vavr.control.Either;
import org.onyxhinge.core.schedule.RoutingPolicy;
import org.onyxhinge.core.schedule.SchedulerSettings;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

/**
 * The router's settings, read from the INI sections {@code [router]}, {@code [kv]} and {@code
 * [scheduler]}. See {@code examples/router.ini}.
 *
 * @param routerId unique id of this router
 * @param dataCentre data centre it runs in
 * @param host address it listens on
 * @param httpPort callers' HTTP port
 * @param adminPort operators' gRPC port
 * @param enginesPerPool most engines of one pool this router follows
 * @param advertiseHost address given in its membership, for operators
 * @param trafficThreads event loops for callers' traffic
 * @param maxBodyBytes largest request body accepted
 * @param kvHost key-value service address
 * @param kvPort key-value service port
 * @param kvCallTimeoutMs time a key-value call may take
 * @param leaseTtlMs time to live of the router's membership lease
 * @param drainTimeoutMs how long a planned stop waits for requests in progress
 * @param orderLeaseMs time to live of the lease under which it gives a pool an order
 * @param onceWindowMs how long the idempotency key of a non-idempotent request is remembered
 * @param scheduler scheduler knobs
 */
public record RouterSettings(
        String routerId,
        String dataCentre,
        String host,
        int httpPort,
        int adminPort,
        int enginesPerPool,
        String advertiseHost,
        int trafficThreads,
        int maxBodyBytes,
        String kvHost,
        int kvPort,
        long kvCallTimeoutMs,
        long leaseTtlMs,
        long drainTimeoutMs,
        long orderLeaseMs,
        long onceWindowMs,
        SchedulerSettings scheduler) {

    /** Reads and checks the settings; the left side names every bad key. */
    public static Either<SettingsException, RouterSettings> from(Settings s) {
        SchedulerSettings defaults = SchedulerSettings.defaults();
        RouterSettings r = new RouterSettings(
                s.text("router", "id"),
                s.text("router", "data_centre"),
                s.text("router", "host", "127.0.0.1"),
                s.port("router", "http_port", 8080),
                s.port("router", "admin_port", 8081),
                (int) s.number("router", "engines_per_pool", 16, 1, 100_000),
                s.text("router", "advertise_host", "127.0.0.1"),
                (int) s.number("router", "traffic_threads", 2, 1, 64),
                (int) s.number("router", "max_body_bytes", 1 << 20, 1_024, 16 << 20),
                s.text("kv", "host", "127.0.0.1"),
                s.port("kv", "port", 2379),
                s.number("kv", "call_timeout_ms", 1_000, 10, 60_000),
                s.number("kv", "lease_ttl_ms", 6_000, 500, 600_000),
                s.number("router", "drain_timeout_ms", 30_000, 0, 3_600_000),
                s.number("router", "order_lease_ms", 20_000, 500, 600_000),
                s.number("router", "once_window_ms", 86_400_000, 1_000, 604_800_000),
                new SchedulerSettings(
                        policy(s),
                        (int) s.number("scheduler", "queue_limit_per_tier", defaults.queueLimitPerTier(), 0, 1_000_000),
                        s.number("scheduler", "engine_silent_ms", defaults.engineSilentMs(), 100, 600_000),
                        s.number("scheduler", "min_retry_after_ms", defaults.minRetryAfterMs(), 0, 600_000),
                        (int) s.number("scheduler", "recent_prefixes", defaults.recentPrefixes(), 0, 1_000_000),
                        (int) s.number("scheduler", "send_attempts", defaults.sendAttempts(), 1, 100),
                        s.number("scheduler", "ask_again_ms", defaults.askAgainMs(), 1, 60_000),
                        (int) s.number("scheduler", "headroom_percent", defaults.headroomPercent(), 0, 1_000)));
        return s.check().map(ok -> r);
    }

    private static RoutingPolicy policy(Settings s) {
        RoutingPolicy product = new RoutingPolicy.EarliestFirstToken();
        String name = s.text("scheduler", "policy", product.settingName());
        return RoutingPolicy.ofSetting(name).orElseGet(() -> {
            s.problem("scheduler", "policy", "must be one of " + RoutingPolicy.settingNames() + ", got '" + name + "'");
            return product;
        });
    }
}
