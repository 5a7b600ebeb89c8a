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
 * A small site in a single JVM: the key-value stand-in, the target stand-ins, one agent per target, and one or more
 * routers. Components communicate over loopback TCP, as separate processes would. The stand-ins share a Vert.x
 * instance; each router and agent has its own. {@link #close} drains the routers and agents, then stops the stand-ins.
 */
public final class EmbeddedSite implements AutoCloseable {

    private static final long START_TIMEOUT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 50;

    private final Vertx vertx = Vertx.vertx();
    private final List<AgentNode> agents = new ArrayList<>();
    private final List<Integer> enginePorts = new ArrayList<>();
    private KvStandIn kv;
    private final List<RouterNode> routers = new ArrayList<>();

    private EmbeddedSite() {}

    /**
     * Options of an embedded site.
     *
     * @param routers number of routers
     * @param policy routing policy of all routers
     * @param headroomPercent capacity that lower tiers leave free for higher ones, see {@code SchedulerSettings}
     */
    public record Options(int routers, RoutingPolicy policy, int headroomPercent) {

        /** Returns a copy of these options with the given policy. */
        public Options withPolicy(RoutingPolicy other) {
            return new Options(routers, other, headroomPercent);
        }

        /** Returns options for one router with the default scheduler settings. */
        public static Options defaults() {
            SchedulerSettings defaults = SchedulerSettings.defaults();
            return new Options(1, defaults.policy(), defaults.headroomPercent());
        }
    }

    /** Starts all components, applies the setup and waits until every router sees every target. */
    public static EmbeddedSite start(List<Target> targets, List<Message> setup, Options options) {
        EmbeddedSite site = new EmbeddedSite();
        site.kv = Launch.await(KvStandIn.start(site.vertx, "127.0.0.1", 0, 1), START_TIMEOUT_MS);
        for (int i = 1; i <= options.routers(); i++) {
            RouterSettings settings = routerSettings("r" + i, site.kv.port(), options);
            site.routers.add(Launch.await(RouterNode.start(settings), START_TIMEOUT_MS));
        }
        for (Target t : targets) {
            int port = site.startTarget(t);
            site.agents.add(Launch.await(AgentNode.start(agentSettings(t, port, site.kv.port())), START_TIMEOUT_MS));
        }
        try (AdminClient admin = AdminClient.create(
                site.vertx, "127.0.0.1", site.router().settings().adminPort())) {
            Launch.await(admin.apply(setup), START_TIMEOUT_MS);
        }
        site.awaitTargets(targets.size());
        return site;
    }

    /** Returns the first router, to read its metrics and state. */
    public RouterNode router() {
        return routers.get(0);
    }

    /** Returns the HTTP port for callers of each router. */
    public List<Integer> httpPorts() {
        return routers.stream().map(r -> r.settings().httpPort()).toList();
    }

    /** Returns the ports of the engine stand-ins, to read their exact statistics. */
    public List<Integer> enginePorts() {
        return enginePorts;
    }

    /** Returns the Vert.x instance of the stand-ins, which drivers may share. */
    public Vertx vertx() {
        return vertx;
    }

    private int startTarget(Target t) {
        if (t.plain()) {
            return Launch.await(PlainServiceStandIn.start(vertx, "127.0.0.1", 0, t.latencyMs()), START_TIMEOUT_MS)
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
        int port = Launch.await(EngineStandIn.start(vertx, "127.0.0.1", 0, spec), START_TIMEOUT_MS)
                .port();
        enginePorts.add(port);
        return port;
    }

    private void awaitTargets(int count) {
        long until = System.currentTimeMillis() + START_TIMEOUT_MS;
        while (System.currentTimeMillis() < until) {
            if (routers.stream().allMatch(r -> visibleTargets(r) >= count)) {
                return;
            }
            sleep(POLL_INTERVAL_MS);
        }
        throw new IllegalStateException("timed out waiting for every router to see " + count + " targets");
    }

    private static int visibleTargets(RouterNode router) {
        return Launch.await(router.dump(), START_TIMEOUT_MS)
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
        Launch.await(Future.join(stops).mapEmpty(), START_TIMEOUT_MS);
        kv.close();
        Launch.await(vertx.close(), START_TIMEOUT_MS);
    }
}
