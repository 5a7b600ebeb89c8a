package org.onyxhinge.router;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
import org.onyxhinge.core.model.ClusterConfig;
import org.onyxhinge.core.model.Workspace;
import org.onyxhinge.core.schedule.Action;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.core.schedule.Scheduler;
import org.onyxhinge.router.admin.AdminService;
import org.onyxhinge.router.config.ConfigStore;
import org.onyxhinge.router.dispatch.Claims;
import org.onyxhinge.router.dispatch.ControlPlane;
import org.onyxhinge.router.dispatch.Flight;
import org.onyxhinge.router.dispatch.OnceRegistry;
import org.onyxhinge.router.dispatch.RefusedException;
import org.onyxhinge.router.order.OrderService;
import org.onyxhinge.router.peer.AgentLinks;
import org.onyxhinge.router.peer.PeerListener;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvClient;
import org.onyxhinge.wire.kv.KvKeys;
import org.onyxhinge.wire.kv.LeaseKeeper;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * One router process, assembled: the key-value client and configuration, the scheduler and the
 * agents' connections on the control context; the callers' HTTP on traffic contexts; the operators'
 * gRPC service. Every call into the scheduler hops to the control context first.
 */
public final class RouterNode implements ControlPlane, PeerListener, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(RouterNode.class);
    private static final long TICK_MS = 20;
    private static final long IDLE_TICK_MS = 1_000;
    private static final int MAX_ROOM_ASKS = 10_000;
    private static final long DRAIN_POLL_MS = 50;
    private static final long STORE_RETRY_MS = 1_000;

    private final RouterSettings settings;
    private final Vertx vertx;
    private final Context control;
    private final RouterMetrics metrics = new RouterMetrics();
    private final RequestIds ids;
    private final Scheduler scheduler;
    private final Map<String, Flight> flights = new HashMap<>();
    private final Map<Long, String> roomAsks = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MAX_ROOM_ASKS;
        }
    };
    private KvClient kv;
    private ConfigStore config;
    private Claims claims;
    private AgentLinks agents;
    private OrderService orders;
    private long nextAskId = 1;
    private long tickTimer = -1;
    private HttpServer admin;
    private LeaseKeeper membership;
    private volatile boolean draining;

    private RouterNode(RouterSettings settings, Vertx vertx) {
        this.settings = settings;
        this.vertx = vertx;
        this.control = vertx.getOrCreateContext();
        this.ids = RequestIds.of(settings.routerId(), System.currentTimeMillis());
        this.scheduler = Scheduler.create(settings.scheduler());
    }

    /** Starts a router; the future completes once it serves callers. */
    public static Future<RouterNode> start(RouterSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(settings.trafficThreads() + 1));
        RouterNode node = new RouterNode(settings, vertx);
        return node.onControl(node::startOnControl);
    }

    /** The settings it runs with. */
    public RouterSettings settings() {
        return settings;
    }

    /** Its measures. */
    public RouterMetrics metrics() {
        return metrics;
    }

    /** Its request ids. */
    public RequestIds ids() {
        return ids;
    }

    /** The configuration in force. Safe from any thread. */
    public ClusterConfig config() {
        return config == null ? ClusterConfig.empty() : config.current();
    }

    /** True once a planned stop has begun. */
    public boolean draining() {
        return draining;
    }

    /** A state dump, built on the control thread. Safe from any thread. */
    public Future<JsonObject> dump() {
        return onControl(() -> Future.succeededFuture(buildDump()));
    }

    private Future<RouterNode> startOnControl() {
        kv = KvClient.connect(vertx, settings.kvHost(), settings.kvPort(), settings.kvCallTimeoutMs());
        config = ConfigStore.create(kv, c -> scheduler.lowestRank(c.lowestRank()));
        claims = Claims.create(vertx, OnceRegistry.create(vertx, kv, settings.onceWindowMs()));
        return config.start(vertx)
                .compose(c -> {
                    agents = AgentLinks.start(vertx, kv, this, settings.routerId(), settings.enginesPerPool());
                    orders = OrderService.create(vertx, kv, settings.routerId(), settings.orderLeaseMs());
                    return startAdmin();
                })
                .compose(a -> vertx.deployVerticle(
                        () -> new TrafficVerticle(this),
                        new DeploymentOptions().setInstances(settings.trafficThreads())))
                .map(id -> {
                    tickLater();
                    register();
                    LOG.infof(
                            "router started id=%s http=%s:%d admin=%d",
                            settings.routerId(), settings.host(), settings.httpPort(), admin.actualPort());
                    return this;
                });
    }

    /** Makes this router visible to operators among the routers. */
    private void register() {
        String address = settings.advertiseHost() + ":" + settings.httpPort();
        membership = LeaseKeeper.hold(
                vertx,
                kv,
                KvKeys.ROUTERS + settings.routerId(),
                address.getBytes(StandardCharsets.UTF_8),
                settings.leaseTtlMs());
    }

    private Future<HttpServer> startAdmin() {
        GrpcServer grpc = GrpcServer.server(vertx);
        AdminService.mount(grpc, config, orders, control);
        admin = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(true));
        return admin.requestHandler(grpc).listen(settings.adminPort(), settings.host());
    }

    @Override
    public void submit(Flight f) {
        control.runOnContext(v -> {
            boolean idle = flights.isEmpty();
            flights.put(f.spec().requestId(), f);
            if (idle) {
                tickLater();
            }
            if (!f.spec().nonIdempotent()) {
                schedule(f);
                return;
            }
            claims.take(f.spec(), f.spec().firstTokenDueAtMs() - MonotonicClock.nowMs())
                    .onSuccess(taken -> claimed(f))
                    .onFailure(e -> refuseUnscheduled(f, e));
        });
    }

    private void schedule(Flight f) {
        int limit = config().workspace(f.spec().workspace())
                .map(Workspace::maxInFlight)
                .orElse(0);
        List<Action> actions = scheduler.submit(f.spec(), limit, MonotonicClock.nowMs());
        f.decided(System.nanoTime());
        execute(actions);
    }

    /** The claim is in the store; schedules the request unless its caller left meanwhile. */
    private void claimed(Flight f) {
        if (flights.containsKey(f.spec().requestId())) {
            schedule(f);
        } else {
            claims.ended(f.spec().requestId(), false);
        }
    }

    private void refuseUnscheduled(Flight f, Throwable e) {
        flights.remove(f.spec().requestId());
        Refusal refusal = e instanceof RefusedException r
                ? r.refusal()
                : Refusal.of(RefusalReason.STORE_UNAVAILABLE, e.getMessage(), STORE_RETRY_MS);
        f.traffic().runOnContext(v -> f.dispatcher().refuse(f, refusal));
    }

    @Override
    public void firstToken(String requestId) {
        control.runOnContext(v -> scheduler.firstToken(requestId, MonotonicClock.nowMs()));
    }

    @Override
    public void unsent(String requestId) {
        control.runOnContext(v -> execute(scheduler.unsent(requestId, MonotonicClock.nowMs())));
    }

    @Override
    public void ended(String requestId, boolean sent) {
        control.runOnContext(v -> {
            flights.remove(requestId);
            claims.ended(requestId, sent);
            execute(scheduler.ended(requestId, MonotonicClock.nowMs()));
        });
    }

    @Override
    public void received(String engineId, PeerMessage.ToRouter message) {
        switch (message) {
            case PeerMessage.Hello h -> hello(h);
            case PeerMessage.Load l -> execute(scheduler.engineReported(l.toReport(engineId), MonotonicClock.nowMs()));
            case PeerMessage.Bye b -> {
                LOG.infof("engine leaving engine=%s", engineId);
                scheduler.engineDraining(engineId);
            }
            case PeerMessage.Yield y -> makeRoom(engineId, y);
            case PeerMessage.RoomReply r -> {
                String requestId = roomAsks.remove(r.askId());
                if (requestId != null) {
                    execute(scheduler.preemptionAnswered(requestId, r.made(), MonotonicClock.nowMs()));
                }
            }
            case PeerMessage.OrderReply o -> LOG.warnf("order reply not expected engine=%s", engineId);
        }
    }

    private void hello(PeerMessage.Hello hello) {
        EngineInfo info = hello.engine();
        LOG.infof(
                "engine joined engine=%s pool=%s agent=%s address=%s:%d",
                info.engineId(), info.pool(), hello.agentId(), info.host(), info.port());
        execute(scheduler.engineJoined(info, MonotonicClock.nowMs()));
    }

    /** Another router needs room: stops one lower-tier request of this router, if it has one there. */
    private void makeRoom(String engineId, PeerMessage.Yield y) {
        Optional<Action> stopped = scheduler.makeRoom(engineId, y.rank());
        stopped.ifPresent(a -> execute(List.of(a)));
        agents.send(engineId, new PeerMessage.Yielded(y.turnId(), stopped.isPresent()));
    }

    private void askRoom(Action.RequestPreemption ask) {
        long askId = nextAskId++;
        PeerMessage.RoomRequest request =
                new PeerMessage.RoomRequest(askId, ask.spec().tier().rank());
        if (agents.send(ask.engineId(), request)) {
            roomAsks.put(askId, ask.requestId());
        } else {
            execute(scheduler.preemptionAnswered(ask.requestId(), false, MonotonicClock.nowMs()));
        }
    }

    private void execute(List<Action> actions) {
        for (Action a : actions) {
            Flight f = flights.get(a.requestId());
            if (f == null) {
                execute(scheduler.ended(a.requestId(), MonotonicClock.nowMs()));
            } else {
                execute(a, f);
            }
        }
    }

    private void execute(Action action, Flight f) {
        switch (action) {
            case Action.Dispatch d ->
                f.traffic().runOnContext(v -> f.dispatcher().dispatch(f, d.engine()));
            case Action.Refuse r -> {
                flights.remove(r.requestId());
                claims.ended(r.requestId(), false);
                f.traffic().runOnContext(v -> f.dispatcher().refuse(f, r.refusal()));
            }
            case Action.RequestPreemption ask -> askRoom(ask);
            case Action.Cancel c -> {
                flights.remove(c.requestId());
                f.traffic().runOnContext(v -> f.dispatcher().cancel(f, c.refusal()));
            }
        }
    }

    /** Looks at queues and deadlines often while there are requests, and seldom while there are none. */
    private void tickLater() {
        vertx.cancelTimer(tickTimer);
        tickTimer = vertx.setTimer(flights.isEmpty() ? IDLE_TICK_MS : TICK_MS, t -> {
            execute(scheduler.tick(MonotonicClock.nowMs()));
            tickLater();
        });
    }

    private JsonObject buildDump() {
        Map<String, Integer> byState = new TreeMap<>();
        flights.values().forEach(f -> byState.merge(f.state(), 1, Integer::sum));
        JsonObject flightStates = new JsonObject();
        byState.forEach(flightStates::put);
        return new JsonObject()
                .put("process", "router")
                .put("routerId", settings.routerId())
                .put("dataCentre", settings.dataCentre())
                .put("draining", draining)
                .put("configRevision", config().revision())
                .put("kvConnected", kv.connected())
                .put("kvCalls", kv.callCount())
                .put("membershipHeld", membership != null && membership.held())
                .put("agentsKnown", agents.known())
                .put("peerFramesIn", agents.traffic().framesIn())
                .put("peerBytesIn", agents.traffic().bytesIn())
                .put("peerBytesOut", agents.traffic().bytesOut())
                .put("flights", flightStates)
                .put("scheduler", SnapshotJson.of(scheduler.snapshot(), MonotonicClock.nowMs()))
                .put("metrics", metrics.toJson());
    }

    /**
     * A planned stop: refuses new work honestly, leaves the membership so agents stop reporting, waits
     * up to the drain timeout for requests in progress to finish, then closes.
     */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        control.runOnContext(v -> {
            draining = true;
            LOG.infof("router draining id=%s inFlight=%d", settings.routerId(), flights.size());
            if (membership != null) {
                membership.release();
            }
            waitForFlights(MonotonicClock.nowMs() + settings.drainTimeoutMs(), done);
        });
        return done.future().compose(v -> vertx.close());
    }

    private void waitForFlights(long untilMs, Promise<Void> done) {
        if (flights.isEmpty() || MonotonicClock.nowMs() >= untilMs) {
            LOG.infof("router drained id=%s left=%d", settings.routerId(), flights.size());
            done.complete();
            return;
        }
        vertx.setTimer(DRAIN_POLL_MS, t -> waitForFlights(untilMs, done));
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
