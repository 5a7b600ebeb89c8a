package org.onyxhinge.router.forward.file;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import io.vavr.control.Either;
import org.onyxhinge.core.place.Mechanism;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.rollout.RolloutLimits;
import org.onyxhinge.core.rollout.RolloutOrder;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.EdgeLimits;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.QuotaUnit;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.ServiceShare;
import org.onyxhinge.core.route.TargetService;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.router.forward.ContentionSettings;
import org.onyxhinge.router.forward.ForwardingSettings;
import org.onyxhinge.router.forward.ReaderLimits;
import org.onyxhinge.router.forward.RolloutSettings;
import org.onyxhinge.runtime.HostPort;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;
import org.onyxhinge.runtime.server.ServerCapacity;

/**
 * Reads a forwarding router's INI file: {@code [router]}, {@code [limits]}, {@code [retries]}, {@code [rollouts]},
 * {@code [contention]} and one section for each {@code route}, {@code service}, {@code workspace}, {@code target},
 * {@code peer} and {@code rollout}. See {@code examples/forward.ini}.
 */
public final class ForwardingFile {

    private static final long MAX_MS = 86_400_000;
    private static final long MAX_CONNECTIONS = 1_000_000;
    private static final long MAX_UNITS = 1_000_000_000_000L;
    private static final double PERCENT = 100;
    private static final long MAX_LINK_MBPS = 1_000_000;
    private static final long BYTES_PER_MEGABIT = 125_000;
    private static final long MAX_BUFFER_BYTES = 1L << 40;

    private final Settings file;
    private final long version;

    private ForwardingFile(Settings file, long version) {
        this.file = file;
        this.version = version;
    }

    /**
     * Reads a file.
     *
     * @param version number of this reading; a higher version replaces what earlier ones set
     * @return on the left, every invalid or unknown key
     */
    public static Either<SettingsException, ForwardingSetup> read(Settings file, long version) {
        return new ForwardingFile(file, version).read();
    }

    private Either<SettingsException, ForwardingSetup> read() {
        ForwardingSettings settings = settings();
        HostPort status = address("router", "status", "127.0.0.1:8082");
        EdgeLimits limits = limits();
        if (!settings.callers().fits(limits.maxHeaderBytes(), 0)) {
            file.problem(
                    "limits",
                    "max_header_bytes",
                    "a head of this size may take more memory than the heap of this process leaves for heads");
        }
        List<Route> routes = new ArrayList<>();
        List<TargetService> services = new ArrayList<>();
        List<WorkspaceAccess> workspaces = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        Map<String, ForwardingSetup.Router> peers = new HashMap<>();
        List<RolloutOrder> rollouts = new ArrayList<>();
        for (String section : file.sections()) {
            String[] parts = section.trim().split("\\s+", 2);
            String name = parts.length == 2 ? parts[1] : "";
            try {
                switch (parts[0]) {
                    case "route" -> routes.add(route(section, name));
                    case "service" -> services.add(service(section, name));
                    case "workspace" -> workspaces.add(workspace(section, name));
                    case "target" -> targets.add(target(section, name));
                    case "peer" -> peers.put(name, peer(section));
                    case "rollout" -> rollouts.add(rollout(section, name));
                    case "router", "limits", "retries", "rollouts", "contention" -> {
                        // Read before the loop.
                    }
                    default -> file.problem(section, "-", "unknown section");
                }
            } catch (IllegalArgumentException e) {
                file.problem(section, "-", e.getMessage());
            }
        }
        return file.check().flatMap(ok -> {
            try {
                ForwardingConfig config = ForwardingConfig.of(version, limits, routes, services, workspaces);
                return Either.right(new ForwardingSetup(settings, status, config, targets, peers, rollouts));
            } catch (IllegalArgumentException e) {
                file.problem("route", "-", e.getMessage());
                return Either.left(file.check().getLeft());
            }
        });
    }

    private ForwardingSettings settings() {
        HostPort callers = address("router", "listen", "127.0.0.1:8080");
        HostPort peers = address("router", "peer_listen", "127.0.0.1:8083");
        return new ForwardingSettings(
                file.text("router", "id"),
                file.text("router", "data_centre"),
                callers.host(),
                callers.port(),
                peers.host(),
                peers.port(),
                file.number("retries", "percent", 10, 0, 100) / PERCENT,
                file.number("retries", "allowance", 10, 0, 1_000_000),
                file.number("retries", "window_ms", 10_000, 100, MAX_MS),
                0,
                file.number("router", "quota_window_ms", 8_000, 100, MAX_MS),
                file.number("router", "quota_tolerance_percent", 0, 0, 100) / PERCENT,
                file.number("router", "quota_tolerance_units", 0, 0, MAX_UNITS),
                new RolloutSettings(
                        new RolloutLimits(
                                file.number("rollouts", "exposure_percent", 10, 0, 100) / PERCENT,
                                file.number("rollouts", "exposure_allowance", 0, 0, MAX_UNITS)),
                        false),
                file.number("router", "drain_timeout_ms", 30_000, 1_000, MAX_MS),
                file.number("router", "leaving_hold_ms", 60_000, 1_000, MAX_MS),
                file.number("router", "link_mbps", 0, 0, MAX_LINK_MBPS) * BYTES_PER_MEGABIT,
                ForwardingSettings.heapBytes(file.number(
                        "router", "body_memory_percent", ForwardingSettings.DEFAULT_BODY_MEMORY_PERCENT, 1, 90)),
                ServerCapacity.ofHeads((int) file.number(
                        "router", "max_connections", ServerCapacity.defaultMaxConnections(), 1, MAX_CONNECTIONS)),
                contention());
    }

    private ContentionSettings contention() {
        Set<Mechanism> mechanisms = EnumSet.noneOf(Mechanism.class);
        for (Mechanism m : Mechanism.values()) {
            String key = m.name().toLowerCase(Locale.ROOT);
            if (m.isOptIn() && file.flag("contention", key, false)) {
                mechanisms.add(m);
            }
        }
        return new ContentionSettings(
                mechanisms,
                file.flag("contention", "retry_recognition", false),
                file.flag("contention", "repeat_limits", false),
                new ReaderLimits(
                        file.number("contention", "reader_buffer_bytes", 0, 0, MAX_BUFFER_BYTES),
                        file.number("contention", "readers_buffer_bytes", 0, 0, MAX_BUFFER_BYTES),
                        file.number("contention", "reader_stall_ms", ReaderLimits.DEFAULT_STALL_MS, 100, MAX_MS)));
    }

    private EdgeLimits limits() {
        return new EdgeLimits(
                (int) file.number("limits", "max_header_bytes", 16_384, 1_024, 65_536),
                (int) file.number("limits", "max_body_bytes", 4 << 20, 1_024, 64 << 20),
                file.number("limits", "header_timeout_ms", 5_000, 100, MAX_MS),
                file.number("limits", "idle_timeout_ms", 30_000, 100, MAX_MS));
    }

    private Route route(String section, String name) {
        long timeoutMs = file.number(section, "timeout_ms", 30_000, 1, MAX_MS);
        return new Route(
                name,
                text(section, "host").toLowerCase(Locale.ROOT),
                text(section, "path_prefix"),
                kind(section),
                file.flag(section, "resumable", false),
                file.flag(section, "keyless", false),
                (int) file.number(section, "rank", 0, 0, 999),
                timeoutMs,
                file.number(section, "target_latency_ms", timeoutMs, 1, MAX_MS),
                file.number(section, "gap_target_ms", 0, 0, MAX_MS),
                (int) file.number(section, "max_attempts", 1, 1, 100),
                shares(section));
    }

    private String text(String section, String key) {
        String text = file.text(section, key);
        return text == null ? "" : text;
    }

    private CallKind kind(String section) {
        String text = file.text(section, "kind", "non_idempotent");
        for (CallKind kind : CallKind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return kind;
            }
        }
        file.problem(section, "kind", "must be idempotent, non_idempotent or stream, was '" + text + "'");
        return CallKind.NON_IDEMPOTENT;
    }

    /** Parses {@code writers} or, with weights, {@code writers:9, writers-next:1}. */
    private List<ServiceShare> shares(String section) {
        List<ServiceShare> out = new ArrayList<>();
        for (String part : commaSeparated(section, "services")) {
            String[] pair = part.split(":", 2);
            out.add(new ServiceShare(pair[0].trim(), pair.length == 1 ? 1 : weight(section, pair[1])));
        }
        return out;
    }

    private int weight(String section, String text) {
        try {
            return Integer.parseInt(text.trim());
        } catch (NumberFormatException e) {
            file.problem(section, "services", "not a weight: '" + text + "'");
            return 0;
        }
    }

    private TargetService service(String section, String name) {
        return new TargetService(
                name,
                (int) file.number(section, "max_connections", 64, 1, 1_000_000),
                file.flag(section, "model_engine", false));
    }

    private WorkspaceAccess workspace(String section, String name) {
        long rank = file.number(section, "rank", -1, 0, 999);
        return new WorkspaceAccess(
                name,
                Set.copyOf(commaSeparated(section, "api_keys")),
                rank < 0 ? OptionalInt.empty() : OptionalInt.of((int) rank),
                file.flag(section, "quota_in_tokens", false) ? QuotaUnit.TOKENS : QuotaUnit.REQUESTS,
                file.number(section, "tokens_of_plain_calls", 0, 0, MAX_UNITS),
                file.number(section, "quota_per_second", 0, 0, MAX_UNITS),
                file.number(section, "quota_burst", 0, 0, MAX_UNITS));
    }

    private Target target(String section, String name) {
        HostPort at = address(section, "address", null);
        return new Target(
                name,
                0,
                file.text(section, "service"),
                file.text(section, "version", ""),
                at.host(),
                at.port(),
                file.text(section, "data_centre", ""),
                (int) file.number(section, "slots", 8, 1, 100_000),
                !file.flag(section, "draining", false),
                0);
    }

    private RolloutOrder rollout(String section, String service) {
        return new RolloutOrder(
                service,
                text(section, "version"),
                file.number(section, "duration_ms", 600_000, 100, MAX_MS),
                file.number(section, "order", 1, 1, MAX_UNITS));
    }

    private ForwardingSetup.Router peer(String section) {
        HostPort at = address(section, "address", null);
        return new ForwardingSetup.Router(at.host() + ":" + at.port(), file.text(section, "data_centre", ""));
    }

    private List<String> commaSeparated(String section, String key) {
        String text = file.text(section, key);
        return text == null
                ? List.of()
                : Arrays.stream(text.split(","))
                        .map(String::trim)
                        .filter(w -> !w.isEmpty())
                        .distinct()
                        .toList();
    }

    private HostPort address(String section, String key, String fallback) {
        String text = file.text(section, key, fallback);
        try {
            return HostPort.parse(key, text);
        } catch (IllegalArgumentException e) {
            if (text != null) {
                file.problem(section, key, e.getMessage());
            }
            return new HostPort("127.0.0.1", 1);
        }
    }
}
