package org.onyxhinge.agent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.runtime.StatusEndpoints;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.LeaseKeeper;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * One agent process, assembled. All state lives on one event loop: it polls the target's load every
 * report interval, sends it to the routers that subscribed, and keeps the lease they find it by.
 */
public final class AgentNode implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(AgentNode.class);
    private static final long DRAIN_POLL_MS = 50;
    private static final int LOAD_TIMEOUT_MS = 1_000;

    private final AgentSettings settings;
    private final Vertx vertx;
    private final Context control;
    private final MetricRegistry metrics = new MetricRegistry();
    private KvClient kv;
    private HttpClient target;
    private AgentOrders orders;
    private RouterHub routers;
    private LeaseKeeper membership;
    private HttpServer status;
    private EngineInfo engine;
    private JsonObject lastLoad = new JsonObject();
    private VmState vmState;
    private long pollTimer;
    private boolean polling;
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
        orders = new AgentOrders(kv, target, settings);
        return RouterHub.start(vertx, settings.host(), settings.peerPort(), this::hello, orders)
                .compose(hub -> {
                    routers = hub;
                    return startStatus();
                })
                .map(s -> {
                    pollTimer = vertx.setPeriodic(settings.reportIntervalMs(), t -> poll());
                    vmState = VmState.follow(vertx, target, settings, this::leavingChanged);
                    register();
                    LOG.infof(
                            "agent started id=%s target=%s pool=%s status=%d peer=%d",
                            settings.agentId(), settings.targetId(), settings.pool(), s.actualPort(), routers.port());
                    return this;
                });
    }

    private Future<HttpServer> startStatus() {
        status = vertx.createHttpServer()
                .requestHandler(StatusEndpoints.create(
                        metrics, () -> onControl(() -> Future.succeededFuture(buildDump())), () -> !draining));
        return status.listen(settings.statusPort(), settings.host());
    }

    /** Makes this agent findable by routers under its pool and target. */
    private void register() {
        String address = settings.advertiseHost() + ":" + routers.port();
        membership = LeaseKeeper.hold(
                vertx,
                kv,
                KvKeys.AGENTS + settings.pool() + "/" + settings.targetId(),
                address.getBytes(StandardCharsets.UTF_8),
                settings.leaseTtlMs());
    }

    private void leavingChanged(boolean leaving) {
        LOG.infof("target vm=%s leaving=%s", settings.vmId(), leaving);
        report();
    }

    private PeerMessage.Hello hello() {
        return new PeerMessage.Hello(settings.agentId(), engine);
    }

    /** Asks the target for its load, unless it still owes the last answer. */
    private void poll() {
        if (polling) {
            return;
        }
        polling = true;
        target.request(loadRequest())
                .compose(req -> req.send().compose(resp -> resp.body()))
                .map(body -> heard(new JsonObject(body)))
                .onComplete(r -> polling = false)
                .onFailure(this::notHeard);
    }

    private RequestOptions loadRequest() {
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(settings.targetHost())
                .setPort(settings.targetPort())
                .setURI("/load")
                .setConnectTimeout(LOAD_TIMEOUT_MS)
                .setIdleTimeout(LOAD_TIMEOUT_MS);
    }

    private JsonObject heard(JsonObject load) {
        refreshEngine(load);
        lastLoad = load;
        if (!targetReachable) {
            LOG.infof("target reports its load target=%s", settings.targetId());
        }
        targetReachable = true;
        report();
        return load;
    }

    /** No load, or none that can be read: nothing is reported, so routers stop using the target. */
    private void notHeard(Throwable e) {
        if (targetReachable) {
            LOG.warnf("target does not report its load target=%s error=%s", settings.targetId(), e.getMessage());
        }
        targetReachable = false;
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
            routers.broadcast(hello());
        }
    }

    private void report() {
        List<Long> prefixes = new ArrayList<>();
        JsonArray cached = lastLoad.getJsonArray("cachedPrefixes", new JsonArray());
        for (int i = 0; i < cached.size(); i++) {
            prefixes.add(cached.getLong(i));
        }
        PeerMessage.Load load = new PeerMessage.Load(
                lastLoad.getInteger("running", 0),
                lastLoad.getInteger("waiting", 0),
                prefixes,
                draining || vmState.leaving());
        routers.broadcast(load);
        metrics.meter("reports.sent").mark();
    }

    private JsonObject buildDump() {
        return new JsonObject()
                .put("process", "agent")
                .put("agentId", settings.agentId())
                .put("dataCentre", settings.dataCentre())
                .put("targetId", settings.targetId())
                .put("pool", settings.pool())
                .put("draining", draining)
                .put("vmLeaving", vmState.leaving())
                .put("targetReachable", targetReachable)
                .put("lastLoad", lastLoad)
                .put("routers", new JsonArray(List.copyOf(routers.routerIds())))
                .put("peerFramesOut", routers.traffic().framesOut())
                .put("peerBytesOut", routers.traffic().bytesOut())
                .put("peerBytesIn", routers.traffic().bytesIn())
                .put("kvConnected", kv.connected())
                .put("kvCalls", kv.callCount())
                .put("leaseHeld", membership.held())
                .put("highestOrderToken", orders.highestToken());
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
            routers.broadcast(new PeerMessage.Bye());
            LOG.infof("agent draining id=%s", settings.agentId());
            waitIdle(MonotonicClock.nowMs(), MonotonicClock.nowMs() + settings.drainTimeoutMs(), done);
        });
        return done.future()
                .compose(v -> {
                    vertx.cancelTimer(pollTimer);
                    return membership.release();
                })
                .eventually(() -> vertx.close());
    }

    /** Load is late and may fail once: the target is idle only once it has shown no work for a while. */
    private void waitIdle(long idleSinceMs, long untilMs, Promise<Void> done) {
        long nowMs = MonotonicClock.nowMs();
        int busy = lastLoad.getInteger("running", 0) + lastLoad.getInteger("waiting", 0);
        long since = busy == 0 || !targetReachable ? idleSinceMs : nowMs;
        boolean settled = nowMs - since >= settings.drainSettleMs();
        if (settled || nowMs >= untilMs) {
            LOG.infof("agent drained id=%s busy=%d", settings.agentId(), busy);
            done.complete();
            return;
        }
        vertx.setTimer(DRAIN_POLL_MS, t -> waitIdle(since, untilMs, done));
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
