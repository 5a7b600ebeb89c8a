package org.onyxhinge.router;

import io.vavr.control.Either;
import org.onyxhinge.core.schedule.RoutingPolicy;
import org.onyxhinge.core.schedule.SchedulerSettings;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;
import org.onyxhinge.runtime.server.ServerCapacity;
import org.onyxhinge.runtime.server.ServerConnections;
import org.onyxhinge.runtime.server.ServerLimits;

/**
 * Settings of a router, read from the INI sections {@code [router]}, {@code [kv]} and {@code
 * [scheduler]}. See {@code examples/router.ini}.
 *
 * @param routerId unique id of the router
 * @param dataCentre data centre in which the router runs
 * @param host listen address
 * @param httpPort port of the HTTP API for callers
 * @param adminPort port of the gRPC service for operators
 * @param enginesPerPool maximum number of engines per pool to whose agents the router connects
 * @param advertiseHost address that the router registers for operators
 * @param trafficThreads number of event loops for callers' traffic
 * @param maxBodyBytes maximum size of a request body
 * @param kvHost address of the key-value service
 * @param kvPort port of the key-value service
 * @param kvCallTimeoutMs timeout of a call to the key-value service
 * @param leaseTtlMs time to live of the membership lease
 * @param drainTimeoutMs maximum time that a planned stop waits for requests in progress
 * @param orderLeaseMs time to live of the lease under which an order to a pool is sent
 * @param idempotencyWindowMs time for which the idempotency key of a non-idempotent request is kept
 * @param callerLimits limits of a caller's request
 * @param callers what the connections of all callers on one event loop may take together
 * @param scheduler settings of the scheduler
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
        long idempotencyWindowMs,
        ServerLimits callerLimits,
        ServerCapacity callers,
        SchedulerSettings scheduler) {

    private static final long MAX_CONNECTIONS = 1_000_000;

    /** Percentage of the heap for the requests of all callers, which are parsed whole. */
    private static final long REQUEST_HEAP_PERCENT = 30;

    /** A body is in memory as received, as text, parsed, and as sent to a target. */
    private static final int BODY_COST = 4;

    /** Reads and validates the settings; the left side names every invalid key. */
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
                ServerLimits.of(
                        (int) s.number("router", "max_header_bytes", 16_384, 1_024, ServerConnections.MAX_HEAD_BYTES),
                        s.number("router", "header_timeout_ms", 5_000, 100, 3_600_000),
                        s.number("router", "idle_timeout_ms", 30_000, 100, 3_600_000)),
                callers(s),
                new SchedulerSettings(
                        policy(s),
                        (int) s.number("scheduler", "queue_limit_per_tier", defaults.queueLimitPerTier(), 0, 1_000_000),
                        s.number("scheduler", "engine_silent_ms", defaults.engineSilentMs(), 100, 600_000),
                        s.number("scheduler", "min_retry_after_ms", defaults.minRetryAfterMs(), 0, 600_000),
                        (int) s.number("scheduler", "recent_prefixes", defaults.recentPrefixes(), 0, 1_000_000),
                        (int) s.number("scheduler", "send_attempts", defaults.sendAttempts(), 1, 100),
                        s.number("scheduler", "ask_again_ms", defaults.askAgainMs(), 1, 60_000),
                        (int) s.number("scheduler", "headroom_percent", defaults.headroomPercent(), 0, 1_000)));
        if (!r.callers().fits(r.callerLimits().maxHeadBytes(), r.maxBodyBytes())) {
            s.problem(
                    "router",
                    "max_body_bytes",
                    "a request of this size takes more memory than the heap of this process leaves for requests");
        }
        return s.check().map(ok -> r);
    }

    private static ServerCapacity callers(Settings s) {
        int loops = (int) s.number("router", "traffic_threads", 2, 1, 64);
        long connections =
                s.number("router", "max_connections", ServerCapacity.defaultMaxConnections(), 1, MAX_CONNECTIONS);
        return new ServerCapacity(
                (int) Math.max(1, connections / loops),
                ServerCapacity.heapBytes(REQUEST_HEAP_PERCENT) / loops,
                ServerCapacity.REQUEST_BYTES,
                BODY_COST,
                0);
    }

    private static RoutingPolicy policy(Settings s) {
        RoutingPolicy defaultPolicy = new RoutingPolicy.EarliestFirstToken();
        String name = s.text("scheduler", "policy", defaultPolicy.settingName());
        return RoutingPolicy.ofSetting(name).orElseGet(() -> {
            s.problem("scheduler", "policy", "must be one of " + RoutingPolicy.settingNames() + ", got '" + name + "'");
            return defaultPolicy;
        });
    }
}
