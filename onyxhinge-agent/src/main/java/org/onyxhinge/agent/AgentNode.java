package org.onyxhinge.agent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.ext.web.Router;
import org.jboss.logging.Logger;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.runtime.StatusEndpoints;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvMessage;
import org.onyxhinge.wire.kv.LeaseKeeper;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * One agent process, assembled. All state lives on one event loop: it polls the target's load every
 * report interval, sends it to every router that holds a membership lease, and keeps its own lease.
 */
public final class AgentNode implements AutoCloseable {

    /** Key prefix under which agents hold their membership leases. */
    public static final String MEMBERS_PREFIX = "members/agents/";

    private static final Logger LOG = Logger.getLogger(AgentNode.class);
    private static final String ROUTERS_PREFIX = "members/routers/";
    private static final long DRAIN_POLL_MS = 50;

    private final AgentSettings settings;
    private final Vertx vertx;
    private final Context control;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Map<String, RouterLink> routers = new TreeMap<>();
    private KvClient kv;
    private HttpClient target;
    private NetClient net;
    private LeaseKeeper membership;
    private HttpServer status;
    private EngineInfo engine;
    private JsonObject lastLoad = new JsonObject();
    private long pollTimer;
    private boolean targetReachable;
    private volatile boolean draining;

    private AgentNode(AgentSettings settings, Vertx vertx) {
        this.settings = settings;
        this.vertx = vertx;
        this.control = vertx.getOrCreateContext();
        this.engine = new EngineInfo(
                settings.targetId(),
                settings.pool(),
                settings.targetHost(),
                settings.targetPort(),
                settings.maxBatch(),
                settings.prefillTokensPerSecond(),
                settings.decodeTokensPerSecond(),
                false);
    }

    /** Starts an agent; the future completes once its status port listens. */
    public static Future<AgentNode> start(AgentSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        AgentNode node = new AgentNode(settings, vertx);
        return node.onControl(node::startOnControl);
    }

    /** The port of its status paths. */
    public int statusPort() {
        return status.actualPort();
    }

    private Future<AgentNode> startOnControl() {
        kv = KvClient.connect(vertx, settings.kvHost(), settings.kvPort(), settings.kvCallTimeoutMs());
        target = vertx.createHttpClient();
        net = vertx.createNetClient();
        membership = LeaseKeeper.hold(
                vertx,
                kv,
                MEMBERS_PREFIX + settings.agentId(),
                settings.targetId().getBytes(StandardCharsets.UTF_8),
                settings.leaseTtlMs(),
                this::fenced);
        kv.watch(ROUTERS_PREFIX, 0, this::routerEvent);
        pollTimer = vertx.setPeriodic(settings.reportIntervalMs(), t -> poll());
        Router web = Router.router(vertx);
        StatusEndpoints.mount(
                web, metrics, () -> onControl(() -> Future.succeededFuture(buildDump())), () -> !draining);
        status = vertx.createHttpServer().requestHandler(web);
        return status.listen(settings.statusPort(), settings.host()).map(s -> {
            LOG.infof(
                    "agent started id=%s target=%s pool=%s status=%d",
                    settings.agentId(), settings.targetId(), settings.pool(), s.actualPort());
            return this;
        });
    }

    private void fenced(long token) {
        LOG.infof("agent fencing token=%d", token);
        routers.values().forEach(r -> r.send(hello()));
    }

    private PeerMessage.Hello hello() {
        return new PeerMessage.Hello(settings.agentId(), engine, membership == null ? 0 : membership.fencingToken());
    }

    private void routerEvent(KvMessage.Event e) {
        String routerId = e.entry().key().substring(ROUTERS_PREFIX.length());
        RouterLink old = routers.remove(routerId);
        if (old != null) {
            old.close();
        }
        if (!e.deleted()) {
            Supplier<PeerMessage.Hello> h = this::hello;
            routers.put(routerId, new RouterLink(vertx, net, routerId, e.entry().text(), h));
        }
    }

    private void poll() {
        target.request(HttpMethod.GET, settings.targetPort(), settings.targetHost(), "/load")
                .compose(req -> req.send().compose(resp -> resp.body()))
                .onSuccess(body -> {
                    targetReachable = true;
                    lastLoad = new JsonObject(body.toString());
                    refreshEngine(lastLoad);
                    report();
                })
                .onFailure(e -> targetReachable = false);
    }

    private void refreshEngine(JsonObject load) {
        EngineInfo next = new EngineInfo(
                settings.targetId(),
                settings.pool(),
                settings.targetHost(),
                settings.targetPort(),
                load.getInteger("maxBatch", settings.maxBatch()),
                load.getInteger("prefillTokensPerSecond", settings.prefillTokensPerSecond()),
                load.getInteger("decodeTokensPerSecond", settings.decodeTokensPerSecond()),
                load.getBoolean("checksFencing", false));
        if (!next.equals(engine)) {
            engine = next;
            routers.values().forEach(r -> r.send(hello()));
        }
    }

    private void report() {
        List<Long> prefixes = new ArrayList<>();
        JsonArray cached = lastLoad.getJsonArray("cachedPrefixes", new JsonArray());
        for (int i = 0; i < cached.size(); i++) {
            prefixes.add(cached.getLong(i));
        }
        PeerMessage.Load load = new PeerMessage.Load(
                settings.targetId(),
                lastLoad.getInteger("running", 0),
                lastLoad.getInteger("waiting", 0),
                prefixes,
                draining,
                System.currentTimeMillis());
        routers.values().forEach(r -> r.send(load));
        metrics.meter("reports.sent").mark();
    }

    private JsonObject buildDump() {
        JsonObject links = new JsonObject();
        long frames = 0;
        long bytes = 0;
        for (RouterLink r : routers.values()) {
            links.put(r.routerId(), r.connected());
            frames += r.framesSent();
            bytes += r.bytesSent();
        }
        return new JsonObject()
                .put("process", "agent")
                .put("agentId", settings.agentId())
                .put("dataCentre", settings.dataCentre())
                .put("targetId", settings.targetId())
                .put("pool", settings.pool())
                .put("draining", draining)
                .put("targetReachable", targetReachable)
                .put("lastLoad", lastLoad)
                .put("routers", links)
                .put("peerFramesSent", frames)
                .put("peerBytesSent", bytes)
                .put("kvConnected", kv.connected())
                .put("kvCalls", kv.callCount())
                .put("leaseHeld", membership.held())
                .put("fencingToken", membership.fencingToken());
    }

    /**
     * A planned stop: tells every router the target is leaving, waits until the target has no work in
     * progress (or the drain timeout passes), gives up the lease, then closes.
     */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        control.runOnContext(v -> {
            draining = true;
            report();
            routers.values().forEach(r -> r.send(new PeerMessage.Bye(settings.targetId())));
            LOG.infof("agent draining id=%s", settings.agentId());
            waitIdle(System.nanoTime() / 1_000_000 + settings.drainTimeoutMs(), done);
        });
        return done.future()
                .compose(v -> {
                    vertx.cancelTimer(pollTimer);
                    return membership.release();
                })
                .eventually(() -> vertx.close());
    }

    private void waitIdle(long untilMs, Promise<Void> done) {
        int busy = lastLoad.getInteger("running", 0) + lastLoad.getInteger("waiting", 0);
        if (busy == 0 || System.nanoTime() / 1_000_000 >= untilMs || !targetReachable) {
            LOG.infof("agent drained id=%s busy=%d", settings.agentId(), busy);
            done.complete();
            return;
        }
        vertx.setTimer(DRAIN_POLL_MS, t -> waitIdle(untilMs, done));
    }

    @Override
    public void close() {
        vertx.close();
    }

    private <T> Future<T> onControl(Supplier<Future<T>> work) {
        Promise<T> p = Promise.promise();
        control.runOnContext(v -> work.get().onComplete(p));
        return p.future();
    }
}
