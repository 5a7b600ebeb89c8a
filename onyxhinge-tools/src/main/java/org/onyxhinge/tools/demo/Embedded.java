package org.onyxhinge.tools.demo;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.Message;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.agent.AgentNode;
import org.onyxhinge.agent.AgentSettings;
import org.onyxhinge.core.schedule.RoutingPolicy;
import org.onyxhinge.core.schedule.SchedulerSettings;
import org.onyxhinge.router.RouterNode;
import org.onyxhinge.router.RouterSettings;
import org.onyxhinge.router.admin.AdminClient;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.standins.engine.EngineSpec;
import org.onyxhinge.standins.engine.EngineStandIn;
import org.onyxhinge.standins.kv.KvStandIn;
import org.onyxhinge.standins.service.PlainServiceStandIn;

/**
 * A whole small site in one JVM, each part on its own Vert.x instance and talking over loopback TCP as
 * separate processes would: the key-value stand-in, the target stand-ins, one agent per target, and
 * one or more routers. Closing it stops the router and agents with a planned stop, then the stand-ins.
 */
public final class Embedded implements AutoCloseable {

    private static final long START_MS = 60_000;
    private static final long WAIT_POLL_MS = 50;

    private final Vertx platform = Vertx.vertx();
    private final List<AgentNode> agents = new ArrayList<>();
    private final List<Integer> enginePorts = new ArrayList<>();
    private KvStandIn kv;
    private final List<RouterNode> routers = new ArrayList<>();

    private Embedded() {}

    /**
     * What may vary between embedded sites.
     *
     * @param routers how many routers
     * @param policy their routing policy
     * @param headroomPercent room lower tiers leave for higher ones, see {@code SchedulerSettings}
     */
    public record Options(int routers, RoutingPolicy policy, int headroomPercent) {

        /** The same with another policy. */
        public Options with(RoutingPolicy other) {
            return new Options(routers, other, headroomPercent);
        }

        /** One router with the product's own policy. */
        public static Options defaults() {
            SchedulerSettings defaults = SchedulerSettings.defaults();
            return new Options(1, defaults.policy(), defaults.headroomPercent());
        }
    }

    /** Starts everything and applies the setup; returns once every router sees every target. */
    public static Embedded start(List<Target> targets, List<Message> setup, Options options) {
        Embedded e = new Embedded();
        e.kv = Launch.await(KvStandIn.start(e.platform, "127.0.0.1", 0, 1), START_MS);
        for (int i = 1; i <= options.routers(); i++) {
            RouterSettings settings = routerSettings("r" + i, e.kv.port(), options);
            e.routers.add(Launch.await(RouterNode.start(settings), START_MS));
        }
        for (Target t : targets) {
            int port = e.startTarget(t);
            e.agents.add(Launch.await(AgentNode.start(agentSettings(t, port, e.kv.port())), START_MS));
        }
        try (AdminClient admin = AdminClient.create(
                e.platform, "127.0.0.1", e.router().settings().adminPort())) {
            Launch.await(admin.apply(setup), START_MS);
        }
        e.awaitEngines(targets.size());
        return e;
    }

    /** The first router, for its metrics and dump. */
    public RouterNode router() {
        return routers.get(0);
    }

    /** The callers' HTTP port of every router. */
    public List<Integer> httpPorts() {
        return routers.stream().map(r -> r.settings().httpPort()).toList();
    }

    /** The engine stand-ins' ports, for their exact statistics. */
    public List<Integer> enginePorts() {
        return enginePorts;
    }

    /** The Vert.x instance of the stand-ins, also usable by drivers. */
    public Vertx platform() {
        return platform;
    }

    private int startTarget(Target t) {
        if (t.plain()) {
            return Launch.await(PlainServiceStandIn.start(platform, "127.0.0.1", 0, t.latencyMs()), START_MS)
                    .port();
        }
        EngineSpec spec = new EngineSpec(
                t.name(),
                t.maxBatch(),
                t.prefillTokensPerSecond(),
                t.decodeTokensPerSecond(),
                t.cachePrefixes(),
                t.loadLagMs(),
                false);
        int port = Launch.await(EngineStandIn.start(platform, "127.0.0.1", 0, spec), START_MS)
                .port();
        enginePorts.add(port);
        return port;
    }

    private void awaitEngines(int count) {
        long until = System.currentTimeMillis() + START_MS;
        while (System.currentTimeMillis() < until) {
            if (routers.stream().allMatch(r -> enginesSeen(r) >= count)) {
                return;
            }
            sleep(WAIT_POLL_MS);
        }
        throw new IllegalStateException("routers did not see " + count + " targets in time");
    }

    private static int enginesSeen(RouterNode router) {
        return Launch.await(router.dump(), START_MS)
                .getJsonObject("scheduler", new JsonObject())
                .getJsonArray("engines", new JsonArray())
                .size();
    }

    private static RouterSettings routerSettings(String id, int kvPort, Options options) {
        String text = String.join(
                "\n",
                "[router]",
                "id = " + id,
                "data_centre = local",
                "http_port = " + Ports.free(),
                "admin_port = " + Ports.free(),
                "drain_timeout_ms = 10000",
                "[kv]",
                "port = " + kvPort,
                "[scheduler]",
                "policy = " + options.policy().settingName(),
                "headroom_percent = " + options.headroomPercent(),
                "engine_silent_ms = 2000");
        return Settings.fromText("embedded router", text)
                .flatMap(RouterSettings::from)
                .getOrElseThrow(e -> new IllegalStateException(e.getMessage()));
    }

    private static AgentSettings agentSettings(Target t, int port, int kvPort) {
        String text = String.join(
                "\n",
                "[agent]",
                "id = agent-" + t.name(),
                "data_centre = local",
                "status_port = " + Ports.free(),
                "peer_port = " + Ports.free(),
                "report_interval_ms = 200",
                "drain_timeout_ms = 10000",
                "[target]",
                "id = " + t.name(),
                "pool = " + t.pool(),
                "port = " + port,
                "max_batch = " + t.maxBatch(),
                "prefill_tokens_per_second = " + t.prefillTokensPerSecond(),
                "decode_tokens_per_second = "
                        + (t.plain() ? Math.max(1, 1_000 / t.latencyMs()) : t.decodeTokensPerSecond()),
                "[kv]",
                "port = " + kvPort);
        return Settings.fromText("embedded agent", text)
                .flatMap(AgentSettings::from)
                .getOrElseThrow(e -> new IllegalStateException(e.getMessage()));
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        List<Future<Void>> stops = new ArrayList<>();
        routers.forEach(r -> stops.add(r.drain()));
        agents.forEach(a -> stops.add(a.drain()));
        Launch.await(Future.join(stops).mapEmpty(), START_MS);
        kv.close();
        Launch.await(platform.close(), START_MS);
    }
}
