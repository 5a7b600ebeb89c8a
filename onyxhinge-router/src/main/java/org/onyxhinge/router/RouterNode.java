package org.onyxhinge.router;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.grpc.server.GrpcServer;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.core.model.ClusterConfig;
import org.onyxhinge.core.model.Workspace;
import org.onyxhinge.core.schedule.Action;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.core.schedule.Scheduler;
import org.onyxhinge.router.admin.AdminService;
import org.onyxhinge.router.config.ConfigStore;
import org.onyxhinge.router.dispatch.ControlPlane;
import org.onyxhinge.router.dispatch.IdempotencyClaims;
import org.onyxhinge.router.dispatch.IdempotencyRegistry;
import org.onyxhinge.router.dispatch.InFlightRequest;
import org.onyxhinge.router.dispatch.RefusedException;
import org.onyxhinge.router.order.OrderService;
import org.onyxhinge.router.peer.AgentConnections;
import org.onyxhinge.router.peer.AgentMessageListener;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.LeasedKey;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * A router process. The key-value client, the configuration, the scheduler, the connections to agents and
 * the gRPC service for operators run on the control context; the HTTP API for callers runs on the traffic
 * contexts. All calls to the scheduler are made on the control context.
 */
public final class RouterNode implements ControlPlane, AgentMessageListener, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(RouterNode.class);
    private static final long TICK_INTERVAL_MS = 20;
    private static final long IDLE_TICK_INTERVAL_MS = 1_000;
    private static final int MAX_PENDING_PREEMPTIONS = 10_000;
    private static final long DRAIN_POLL_INTERVAL_MS = 50;
    private static final long STORE_RETRY_AFTER_MS = 1_000;

    private final RouterSettings settings;
    private final Vertx vertx;
    private final Context controlContext;
    private final RouterMetrics metrics = new RouterMetrics();
    private final RequestIdGenerator requestIds;
    private final Scheduler scheduler;
    private final Map<String, InFlightRequest> inFlight = new HashMap<>();
    private final Map<Long, String> pendingPreemptions = BoundedMap.dropOldest(MAX_PENDING_PREEMPTIONS);
    private KvClient kv;
    private ConfigStore config;
    private IdempotencyClaims claims;
    private AgentConnections agentConnections;
    private OrderService orders;
    private long nextPreemptionId = 1;
    private long tickTimer = -1;
    private HttpServer adminServer;
    private LeasedKey membership;
    private volatile boolean draining;

    private RouterNode(RouterSettings settings, Vertx vertx) {
        this.settings = settings;
        this.vertx = vertx;
        this.controlContext = vertx.getOrCreateContext();
        this.requestIds = RequestIdGenerator.of(settings.routerId(), System.currentTimeMillis());
        this.scheduler = Scheduler.create(settings.scheduler());
    }

    /** Starts a router; the future completes when it accepts requests. */
    public static Future<RouterNode> start(RouterSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(settings.trafficThreads() + 1));
        RouterNode node = new RouterNode(settings, vertx);
        return node.onControlContext(node::startOnControlContext);
    }

    /** Returns the settings. */
    public RouterSettings settings() {
        return settings;
    }

    /** Returns the metrics. */
    public RouterMetrics metrics() {
        return metrics;
    }

    /** Returns the generator of request ids. */
    public RequestIdGenerator requestIds() {
        return requestIds;
    }

    /** Returns the configuration in force. Thread-safe. */
    public ClusterConfig config() {
        return config == null ? ClusterConfig.empty() : config.current();
    }

    /** Returns true once a planned stop has begun. Thread-safe. */
    public boolean draining() {
        return draining;
    }

    /** Returns a state dump, which is built on the control context. Thread-safe. */
    public Future<JsonObject> dump() {
        return onControlContext(() -> Future.succeededFuture(buildStateDump()));
    }

    private Future<RouterNode> startOnControlContext() {
        kv = KvClient.connect(vertx, settings.kvHost(), settings.kvPort(), settings.kvCallTimeoutMs());
        config = ConfigStore.create(kv, c -> scheduler.lowestRank(c.lowestRank()));
        claims = IdempotencyClaims.create(vertx, IdempotencyRegistry.create(vertx, kv, settings.idempotencyWindowMs()));
        return config.start(vertx)
                .compose(c -> {
                    agentConnections =
                            AgentConnections.start(vertx, kv, this, settings.routerId(), settings.enginesPerPool());
                    orders = OrderService.create(vertx, kv, settings.routerId(), settings.orderLeaseMs());
                    return startAdmin();
                })
                .compose(a -> vertx.deployVerticle(
                        () -> new TrafficVerticle(this),
                        new DeploymentOptions().setInstances(settings.trafficThreads())))
                .map(id -> {
                    scheduleTick();
                    register();
                    LOG.infof(
                            "router started id=%s http=%s:%d admin=%d",
                            settings.routerId(), settings.host(), settings.httpPort(), adminServer.actualPort());
                    return this;
                });
    }

    /** Registers this router in the key-value service, where operators look up the routers. */
    private void register() {
        String address = settings.advertiseHost() + ":" + settings.httpPort();
        membership = LeasedKey.hold(
                vertx,
                kv,
                KvKeys.ROUTERS + settings.routerId(),
                address.getBytes(StandardCharsets.UTF_8),
                settings.leaseTtlMs());
    }

    private Future<HttpServer> startAdmin() {
        GrpcServer grpc = GrpcServer.server(vertx);
        AdminService.mount(grpc, config, orders, controlContext);
        adminServer = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(true));
        return adminServer.requestHandler(grpc).listen(settings.adminPort(), settings.host());
    }

    @Override
    public void submit(InFlightRequest f) {
        controlContext.runOnContext(v -> {
            boolean idle = inFlight.isEmpty();
            inFlight.put(f.spec().requestId(), f);
            if (idle) {
                scheduleTick();
            }
            if (!f.spec().nonIdempotent()) {
                schedule(f);
                return;
            }
            claims.acquire(f.spec(), f.spec().firstTokenDueAtMs() - MonotonicClock.nowMs())
                    .onSuccess(acquired -> onClaimAcquired(f))
                    .onFailure(e -> refuseBeforeScheduling(f, e));
        });
    }

    private void schedule(InFlightRequest f) {
        int limit = config().workspace(f.spec().workspace())
                .map(Workspace::maxInFlight)
                .orElse(0);
        List<Action> actions = scheduler.submit(f.spec(), limit, MonotonicClock.nowMs());
        f.markDecided(System.nanoTime());
        execute(actions);
    }

    /** Schedules a request after its idempotency claim was stored, unless its caller has disconnected. */
    private void onClaimAcquired(InFlightRequest f) {
        if (inFlight.containsKey(f.spec().requestId())) {
            schedule(f);
        } else {
            claims.requestEnded(f.spec().requestId(), false);
        }
    }

    private void refuseBeforeScheduling(InFlightRequest f, Throwable e) {
        inFlight.remove(f.spec().requestId());
        Refusal refusal = e instanceof RefusedException r
                ? r.refusal()
                : Refusal.of(RefusalReason.STORE_UNAVAILABLE, e.getMessage(), STORE_RETRY_AFTER_MS);
        f.trafficContext().runOnContext(v -> f.dispatcher().refuse(f, refusal));
    }

    @Override
    public void firstToken(String requestId) {
        controlContext.runOnContext(v -> scheduler.firstToken(requestId, MonotonicClock.nowMs()));
    }

    @Override
    public void unsent(String requestId) {
        controlContext.runOnContext(v -> execute(scheduler.unsent(requestId, MonotonicClock.nowMs())));
    }

    @Override
    public void ended(String requestId, boolean sent) {
        controlContext.runOnContext(v -> {
            inFlight.remove(requestId);
            claims.requestEnded(requestId, sent);
            execute(scheduler.ended(requestId, MonotonicClock.nowMs()));
        });
    }

    @Override
    public void messageReceived(String engineId, PeerMessage.ToRouter message) {
        switch (message) {
            case PeerMessage.Hello h -> engineConnected(h);
            case PeerMessage.Load l -> execute(scheduler.engineReported(l.toReport(engineId), MonotonicClock.nowMs()));
            case PeerMessage.AgentLeaving b -> {
                LOG.infof("engine leaving engine=%s", engineId);
                scheduler.engineDraining(engineId);
            }
            case PeerMessage.PreemptCommand y -> preemptForOtherRouter(engineId, y);
            case PeerMessage.PreemptionReply r -> {
                String requestId = pendingPreemptions.remove(r.askId());
                if (requestId != null) {
                    execute(scheduler.preemptionAnswered(requestId, r.made(), MonotonicClock.nowMs()));
                }
            }
            case PeerMessage.OrderReply o -> LOG.warnf("unexpected order reply engine=%s", engineId);
        }
    }

    private void engineConnected(PeerMessage.Hello hello) {
        EngineInfo info = hello.engine();
        LOG.infof(
                "engine joined engine=%s pool=%s agent=%s address=%s:%d",
                info.engineId(), info.pool(), hello.agentId(), info.host(), info.port());
        execute(scheduler.engineJoined(info, MonotonicClock.nowMs()));
    }

    /**
     * Handles a preemption request of another router: stops one of this router's lower-tier requests on the
     * engine, if there is one, and reports whether it did.
     */
    private void preemptForOtherRouter(String engineId, PeerMessage.PreemptCommand y) {
        Optional<Action> stopped = scheduler.makeRoom(engineId, y.rank());
        stopped.ifPresent(a -> execute(List.of(a)));
        agentConnections.send(engineId, new PeerMessage.PreemptResult(y.turnId(), stopped.isPresent()));
    }

    private void requestPreemption(Action.RequestPreemption action) {
        long preemptionId = nextPreemptionId++;
        PeerMessage.PreemptionRequest message = new PeerMessage.PreemptionRequest(
                preemptionId, action.spec().tier().rank());
        if (agentConnections.send(action.engineId(), message)) {
            pendingPreemptions.put(preemptionId, action.requestId());
        } else {
            execute(scheduler.preemptionAnswered(action.requestId(), false, MonotonicClock.nowMs()));
        }
    }

    private void execute(List<Action> actions) {
        for (Action a : actions) {
            InFlightRequest f = inFlight.get(a.requestId());
            if (f == null) {
                execute(scheduler.ended(a.requestId(), MonotonicClock.nowMs()));
            } else {
                execute(a, f);
            }
        }
    }

    private void execute(Action action, InFlightRequest f) {
        switch (action) {
            case Action.Dispatch d ->
                f.trafficContext().runOnContext(v -> f.dispatcher().dispatch(f, d.engine()));
            case Action.Refuse r -> {
                inFlight.remove(r.requestId());
                claims.requestEnded(r.requestId(), false);
                f.trafficContext().runOnContext(v -> f.dispatcher().refuse(f, r.refusal()));
            }
            case Action.RequestPreemption request -> requestPreemption(request);
            case Action.Cancel c -> {
                inFlight.remove(c.requestId());
                f.trafficContext().runOnContext(v -> f.dispatcher().cancel(f, c.refusal()));
            }
        }
    }

    /** Schedules the next scheduler tick: a short interval while requests are in flight, a long one otherwise. */
    private void scheduleTick() {
        vertx.cancelTimer(tickTimer);
        tickTimer = vertx.setTimer(inFlight.isEmpty() ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS, t -> {
            execute(scheduler.tick(MonotonicClock.nowMs()));
            scheduleTick();
        });
    }

    private JsonObject buildStateDump() {
        Map<String, Integer> byState = new TreeMap<>();
        inFlight.values().forEach(f -> byState.merge(f.state(), 1, Integer::sum));
        JsonObject inFlightByState = new JsonObject();
        byState.forEach(inFlightByState::put);
        return new JsonObject()
                .put("process", "router")
                .put("routerId", settings.routerId())
                .put("dataCentre", settings.dataCentre())
                .put("draining", draining)
                .put("configRevision", config().revision())
                .put("kvConnected", kv.connected())
                .put("kvCalls", kv.callCount())
                .put("membershipHeld", membership != null && membership.held())
                .put("agentsKnown", agentConnections.knownAgents())
                .put("peerFramesIn", agentConnections.traffic().framesIn())
                .put("peerBytesIn", agentConnections.traffic().bytesIn())
                .put("peerBytesOut", agentConnections.traffic().bytesOut())
                .put("flights", inFlightByState)
                .put("scheduler", SnapshotJson.of(scheduler.snapshot(), MonotonicClock.nowMs()))
                .put("metrics", metrics.toJson());
    }

    /**
     * Performs a planned stop: refuses new requests, releases the membership lease so that the router is no
     * longer listed, waits up to the drain timeout for requests in progress, then closes.
     */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        controlContext.runOnContext(v -> {
            draining = true;
            LOG.infof("router draining id=%s inFlight=%d", settings.routerId(), inFlight.size());
            if (membership != null) {
                membership.release();
            }
            awaitInFlight(MonotonicClock.nowMs() + settings.drainTimeoutMs(), done);
        });
        return done.future().compose(v -> vertx.close());
    }

    private void awaitInFlight(long untilMs, Promise<Void> done) {
        if (inFlight.isEmpty() || MonotonicClock.nowMs() >= untilMs) {
            LOG.infof("router drained id=%s left=%d", settings.routerId(), inFlight.size());
            done.complete();
            return;
        }
        vertx.setTimer(DRAIN_POLL_INTERVAL_MS, t -> awaitInFlight(untilMs, done));
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
