package org.onyxhinge.agent;

import io.vavr.control.Either;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

/**
 * Settings of an agent, read from the INI sections {@code [agent]}, {@code [target]}, {@code [kv]} and
 * {@code [vm_list]}. See {@code examples/agent.ini}.
 *
 * @param agentId unique id of the agent
 * @param dataCentre data centre in which the agent runs
 * @param host listen address of the status port
 * @param statusPort port of the HTTP status endpoints
 * @param peerPort TCP port for connections from routers
 * @param advertiseHost address that the agent registers for connections from routers
 * @param reportIntervalMs interval between load reports
 * @param drainTimeoutMs maximum time that a planned stop waits for the target to become idle
 * @param drainSettleMs time for which the target must report no work before it counts as idle
 * @param targetId engine id of the target
 * @param pool pool to which the target belongs
 * @param targetHost address at which routers and the agent reach the target
 * @param targetPort port at which routers and the agent reach the target
 * @param maxBatch number of requests that the target runs concurrently, unless its load report says otherwise
 * @param prefillTokensPerSecond prefill rate of the target, unless its load report says otherwise
 * @param decodeTokensPerSecond decode rate per sequence of the target, unless its load report says otherwise
 * @param kvHost address of the key-value service
 * @param kvPort port of the key-value service
 * @param kvCallTimeoutMs timeout of a call to the key-value service
 * @param leaseTtlMs time to live of the membership lease
 * @param vmId id of the target's VM in the platform's VM list; empty to ignore the list
 * @param vmListHost address of the platform's VM list
 * @param vmListPort port of the platform's VM list
 * @param vmListIntervalMs interval between two queries of the VM list
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

    /** Reads and validates the settings; the left side names every invalid key. */
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
