package org.onyxhinge.agent;

import io.vavr.control.Either;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

/**
 * The agent's settings, read from the INI sections {@code [agent]}, {@code [target]}, {@code [kv]} and
 * {@code [vm_list]}.
 * See {@code examples/agent.ini}.
 *
 * @param agentId unique id of this agent
 * @param dataCentre data centre it runs in
 * @param host address its status port listens on
 * @param statusPort port of its status paths
 * @param peerPort TCP port routers connect to
 * @param advertiseHost address routers connect to
 * @param reportIntervalMs time between load reports
 * @param drainTimeoutMs how long a planned stop waits for the target to go idle
 * @param drainSettleMs how long the target must show no work before a planned stop goes on
 * @param targetId the target's engine id
 * @param pool the pool the target serves
 * @param targetHost address routers dispatch to
 * @param targetPort port routers dispatch to
 * @param maxBatch requests the target runs at once, when it does not say
 * @param prefillTokensPerSecond the target's prompt rate, when it does not say
 * @param decodeTokensPerSecond the target's per-sequence token rate, when it does not say
 * @param kvHost key-value service address
 * @param kvPort key-value service port
 * @param kvCallTimeoutMs time a key-value call may take
 * @param leaseTtlMs time to live of its membership lease
 * @param vmId the target's VM in the platform's list; empty when the list is not followed
 * @param vmListHost address of the platform's VM list
 * @param vmListPort port of the platform's VM list
 * @param vmListIntervalMs time between two looks at the list
 */
public record AgentSettings(
        String agentId,
        String dataCentre,
        String host,
        int statusPort,
        int peerPort,
        String advertiseHost,
        long reportIntervalMs,
        long drainTimeoutMs,
        long drainSettleMs,
        String targetId,
        String pool,
        String targetHost,
        int targetPort,
        int maxBatch,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        String kvHost,
        int kvPort,
        long kvCallTimeoutMs,
        long leaseTtlMs,
        String vmId,
        String vmListHost,
        int vmListPort,
        long vmListIntervalMs) {

    /** Reads and checks the settings; the left side names every bad key. */
    public static Either<SettingsException, AgentSettings> from(Settings s) {
        AgentSettings a = new AgentSettings(
                s.text("agent", "id"),
                s.text("agent", "data_centre"),
                s.text("agent", "host", "127.0.0.1"),
                s.port("agent", "status_port", 9090),
                s.port("agent", "peer_port", 9091),
                s.text("agent", "advertise_host", "127.0.0.1"),
                s.number("agent", "report_interval_ms", 250, 10, 60_000),
                s.number("agent", "drain_timeout_ms", 30_000, 0, 3_600_000),
                s.number("agent", "drain_settle_ms", 1_000, 0, 600_000),
                s.text("target", "id"),
                s.text("target", "pool"),
                s.text("target", "host", "127.0.0.1"),
                s.port("target", "port", 8000),
                (int) s.number("target", "max_batch", 8, 1, 100_000),
                (int) s.number("target", "prefill_tokens_per_second", 100_000, 1, 1_000_000_000),
                (int) s.number("target", "decode_tokens_per_second", 100, 1, 1_000_000),
                s.text("kv", "host", "127.0.0.1"),
                s.port("kv", "port", 2379),
                s.number("kv", "call_timeout_ms", 1_000, 10, 60_000),
                s.number("kv", "lease_ttl_ms", 6_000, 500, 600_000),
                s.text("vm_list", "vm_id", ""),
                s.text("vm_list", "host", "127.0.0.1"),
                s.port("vm_list", "port", 8500),
                s.number("vm_list", "interval_ms", 1_000, 50, 600_000));
        return s.check().map(ok -> a);
    }
}
