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
import org.onyxhinge.runtime.server.StatusServer;
import org.onyxhinge.wire.BoundedJson;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.http.BoundedBody;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.LeasedKey;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * An agent process. It polls the load of the target at every report interval, sends the load to the
 * subscribed routers, and holds the membership lease through which routers discover the agent. All state
 * belongs to one event loop.
 */
public final class AgentNode implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(AgentNode.class);
    private static final long DRAIN_POLL_INTERVAL_MS = 50;
    private static final int LOAD_REQUEST_TIMEOUT_MS = 1_000;
    private static final int MAX_LOAD_BYTES = 64 << 10;

    private final AgentSettings settings;
    private final Vertx vertx;
    private final Context controlContext;
    private final MetricRegistry metrics = new MetricRegistry();
    private KvClient kv;
    private HttpClient target;
    private OrderExecutor orders;
    private RouterConnections routers;
    private LeasedKey membership;
    private HttpServer statusServer;
    private EngineInfo engine;
    private JsonObject lastLoad = new JsonObject();
    private VmStateMonitor vmStateMonitor;
    private long pollTimer;
    private boolean pollInProgress;
    private boolean targetReachable;
    private volatile boolean draining;

    private AgentNode(AgentSettings settings, Vertx vertx) {
        this.settings = settings;
        this.vertx = vertx;
        this.controlContext = vertx.getOrCreateContext();
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

    /** Starts an agent; the future completes when the status port is listening. */
    public static Future<AgentNode> start(AgentSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        AgentNode node = new AgentNode(settings, vertx);
        return node.onControlContext(node::startOnControlContext);
    }

    /** Returns the port of the HTTP status endpoints. */
    public int statusPort() {
        return statusServer.actualPort();
    }

    private Future<AgentNode> startOnControlContext() {
        kv = KvClient.connect(vertx, settings.kvHost(), settings.kvPort(), settings.kvCallTimeoutMs());
        target = SingleCallClient.create(vertx);
        orders = new OrderExecutor(kv, target, settings);
        return RouterConnections.start(vertx, settings.host(), settings.peerPort(), this::helloMessage, orders)
                .compose(connections -> {
                    routers = connections;
                    return startStatusServer();
                })
                .map(s -> {
                    pollTimer = vertx.setPeriodic(settings.reportIntervalMs(), t -> poll());
                    vmStateMonitor = VmStateMonitor.start(vertx, target, settings, this::onVmLeavingChanged);
                    register();
                    LOG.infof(
                            "agent started id=%s target=%s pool=%s status=%d peer=%d",
                            settings.agentId(), settings.targetId(), settings.pool(), s.actualPort(), routers.port());
                    return this;
                });
    }

    private Future<HttpServer> startStatusServer() {
        StatusEndpoints status = StatusEndpoints.create(
                metrics, () -> onControlContext(() -> Future.succeededFuture(buildStateDump())), () -> !draining);
        return StatusServer.listen(
                        vertx,
                        settings.host(),
                        settings.statusPort(),
                        name -> metrics.counter(name).inc(),
                        status)
                .onSuccess(server -> statusServer = server);
    }

    /** Registers this agent in the key-value service under its pool and target, for discovery by routers. */
    private void register() {
        String address = settings.advertiseHost() + ":" + routers.port();
        membership = LeasedKey.hold(
                vertx,
                kv,
                KvKeys.AGENTS + settings.pool() + "/" + settings.targetId(),
                address.getBytes(StandardCharsets.UTF_8),
                settings.leaseTtlMs());
    }

    private void onVmLeavingChanged(boolean leaving) {
        LOG.infof("target VM state changed vm=%s leaving=%s", settings.vmId(), leaving);
        report();
    }

    private PeerMessage.Hello helloMessage() {
        return new PeerMessage.Hello(settings.agentId(), engine);
    }

    /** Requests the load of the target, unless the previous request is still in progress. */
    private void poll() {
        if (pollInProgress) {
            return;
        }
        pollInProgress = true;
        target.request(loadRequest())
                .compose(req -> req.send().compose(resp -> BoundedBody.read(resp, MAX_LOAD_BYTES)))
                .map(body -> onLoad(BoundedJson.object(body.toString())))
                .onComplete(r -> pollInProgress = false)
                .onFailure(this::onLoadFailure);
    }

    private RequestOptions loadRequest() {
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(settings.targetHost())
                .setPort(settings.targetPort())
                .setURI("/load")
                .setConnectTimeout(LOAD_REQUEST_TIMEOUT_MS)
                .setIdleTimeout(LOAD_REQUEST_TIMEOUT_MS);
    }

    private JsonObject onLoad(JsonObject load) {
        updateEngine(load);
        lastLoad = load;
        if (!targetReachable) {
            LOG.infof("target load available target=%s", settings.targetId());
        }
        targetReachable = true;
        report();
        return load;
    }

    /**
     * Handles a missing or malformed load response. Nothing is reported to the routers, so they stop using
     * the target.
     */
    private void onLoadFailure(Throwable e) {
        if (targetReachable) {
            LOG.warnf("target load unavailable target=%s error=%s", settings.targetId(), e.getMessage());
        }
        targetReachable = false;
    }

    private void updateEngine(JsonObject load) {
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
            routers.broadcast(helloMessage());
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
                draining || vmStateMonitor.leaving());
        routers.broadcast(load);
        metrics.meter("reports.sent").mark();
    }

    private JsonObject buildStateDump() {
        return new JsonObject()
                .put("process", "agent")
                .put("agentId", settings.agentId())
                .put("dataCentre", settings.dataCentre())
                .put("targetId", settings.targetId())
                .put("pool", settings.pool())
                .put("draining", draining)
                .put("vmLeaving", vmStateMonitor.leaving())
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
     * Performs a planned stop: tells the routers that the target is leaving, waits until the target is idle
     * or the drain timeout has passed, releases the membership lease, then closes.
     */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        controlContext.runOnContext(v -> {
            draining = true;
            report();
            routers.broadcast(new PeerMessage.AgentLeaving());
            LOG.infof("agent draining id=%s", settings.agentId());
            awaitIdle(MonotonicClock.nowMs(), MonotonicClock.nowMs() + settings.drainTimeoutMs(), done);
        });
        return done.future()
                .compose(v -> {
                    vertx.cancelTimer(pollTimer);
                    return membership.release();
                })
                .eventually(() -> vertx.close());
    }

    /**
     * Waits until the target has reported no work for the settle time, because load reports lag and a single
     * one may fail. An unreachable target counts as idle.
     */
    private void awaitIdle(long idleSinceMs, long untilMs, Promise<Void> done) {
        long nowMs = MonotonicClock.nowMs();
        int busy = lastLoad.getInteger("running", 0) + lastLoad.getInteger("waiting", 0);
        long newIdleSinceMs = busy == 0 || !targetReachable ? idleSinceMs : nowMs;
        boolean isIdle = nowMs - newIdleSinceMs >= settings.drainSettleMs();
        if (isIdle || nowMs >= untilMs) {
            LOG.infof("agent drained id=%s busy=%d", settings.agentId(), busy);
            done.complete();
            return;
        }
        vertx.setTimer(DRAIN_POLL_INTERVAL_MS, t -> awaitIdle(newIdleSinceMs, untilMs, done));
    }

    @Override
    public void close() {
        vertx.close();
    }

    private <T> Future<T> onControlContext(Supplier<Future<T>> action) {
        Promise<T> p = Promise.promise();
        controlContext.runOnContext(v -> action.get().onComplete(p));
        return p.future();
    }
}
