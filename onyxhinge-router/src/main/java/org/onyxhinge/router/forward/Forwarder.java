package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.limit.RetryBudget;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.CallerDeadlines;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.PlacementSettings;
import org.onyxhinge.core.place.ResponseLengthEstimator;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.TargetService;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * A forwarding router: callers' HTTP on one side, targets on the other, and between them the placement,
 * the quotas and the retry budget. All of it lives on one event loop; the public methods may be called
 * from any thread.
 */
public final class Forwarder {

    private static final Logger LOG = Logger.getLogger(Forwarder.class);
    private static final long SWEEP_MS = 100;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int ACCEPT_BACKLOG = 1_024;
    /** A starting router has its configuration within this, or its store is away. */
    private static final long EARLY_HOLD_MS = 600;
    /** What a target that turned a call away is given to work off its queue. */
    static final long SHED_RETRY_MS = 500;

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final CallProtocol protocol;
    private final ForwardingMetrics metrics;
    private final Placement placement;
    private final WorkspaceQuotas quotas;
    private final RetryBudget retries;
    private final Freshness freshness;
    private final ConfigInForce config;
    private final ResponseLengthEstimator lengths = new ResponseLengthEstimator();
    private final CallerDeadlines deadlines = CallerDeadlines.create();
    private final TargetConnections connections;
    private final Set<Attempt> attempts = new HashSet<>();
    private final Set<Exchange> exchanges = new HashSet<>();
    private final Set<Exchange> early = new LinkedHashSet<>();
    private final CrashingRequests crashing;
    private final LimitedTargets limited;
    private final PeersSide peersSide;
    private final PlannedStop stop;
    private final CallerConnections callers = new CallerConnections();
    private Context context;
    private Intake intake;
    private WaitingExchanges waiting;
    private RouterPeers peers;
    private FleetRecords records;
    private TargetRegistry targets;
    private HttpServer server;

    private Forwarder(
            Vertx vertx, ForwardingSettings settings, CallProtocol protocol, Freshness freshness, MetricRegistry m) {
        this.vertx = vertx;
        this.settings = settings;
        this.protocol = protocol;
        this.freshness = freshness;
        this.config = new ConfigInForce(freshness);
        this.metrics = ForwardingMetrics.create(m);
        this.placement = Placement.create(
                settings.routerId(), settings.dataCentre(), PlacementSettings.defaults(), this::slotReserved);
        this.retries = RetryBudget.create(settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMs());
        this.stop = new PlannedStop(settings.graceMs());
        this.connections = TargetConnections.create(vertx);
        this.quotas = new WorkspaceQuotas(settings, MonotonicClock.nowMs());
        this.crashing = new CrashingRequests(vertx, connections, metrics, this::tellAll, this::quarantined);
        this.limited = new LimitedTargets(placement, metrics, this::tellAll);
        this.peersSide = new PeersSide(placement, quotas, crashing, limited, metrics, this::usageHeard);
    }

    /** Starts listening for callers and other routers; it refuses calls until it has a configuration. */
    public static Future<Forwarder> start(
            Vertx vertx,
            ForwardingSettings settings,
            CallProtocol protocol,
            Freshness freshness,
            MetricRegistry registry) {
        Forwarder f = new Forwarder(vertx, settings, protocol, freshness, registry);
        Promise<Forwarder> started = Promise.promise();
        f.context = vertx.getOrCreateContext();
        f.intake = new Intake(vertx, f.context, f.metrics);
        f.waiting = new WaitingExchanges(vertx, f.context, f.placement);
        f.targets = new TargetRegistry(f.context, f.placement, f.crashing, f::pumpSoon);
        f.context.runOnContext(v -> f.listen().onComplete(started));
        return started.future();
    }

    private Future<Forwarder> listen() {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setTcpNoDelay(true)
                .setCompressionSupported(false)
                // HTTP/1.1 alone is spoken here; each handler more is code that a fresh process first interprets.
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
        server = vertx.createHttpServer(options)
                .connectionHandler(callers::opened)
                .exceptionHandler(e -> LOG.debugf("caller connection error=%s", e.getMessage()))
                .invalidRequestHandler(this::malformed)
                .requestHandler(this::request);
        return RouterPeers.start(vertx, settings, peersSide)
                .compose(p -> {
                    peers = p;
                    records = new FleetRecords(context, quotas, crashing, p);
                    return server.listen(settings.port(), settings.host());
                })
                .map(s -> {
                    vertx.setPeriodic(SWEEP_MS, t -> sweep());
                    return this;
                });
    }

    private void malformed(HttpServerRequest request) {
        metrics.event("callers.malformed");
        HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
    }

    private void request(HttpServerRequest request) {
        callers.used(request.connection());
        Exchange.begin(this, request);
    }

    /** Notes that a caller's request has its final answer. */
    void ended(Exchange exchange, HttpConnection connection) {
        exchanges.remove(exchange);
        early.remove(exchange);
        callers.freed(connection);
    }

    /**
     * Puts a newer configuration in force. Calls are checked by it at once, also those that wait to be read; calls that
     * came before the first one are looked at now.
     */
    public void configure(ForwardingConfig newer) {
        config.replace(newer);
        context.runOnContext(v -> {
            peersSide.configured(newer);
            List<Exchange> held = List.copyOf(early);
            early.clear();
            held.forEach(Exchange::check);
        });
    }

    /**
     * Notes that the store has confirmed that the configuration in force is the newest.
     *
     * @param askedAtMs when the read that confirmed it was sent, as {@link Freshness#stampMs} tells the time
     */
    public void confirmed(long askedAtMs) {
        config.confirmed(askedAtMs);
    }

    /** Holds a call that came before the first configuration, for a moment. */
    void holdEarly(Exchange exchange) {
        early.add(exchange);
        vertx.setTimer(EARLY_HOLD_MS, t -> {
            if (early.remove(exchange)) {
                exchange.refuseEarly();
            }
        });
    }

    /** The targets, as they are registered. */
    public TargetRegistry targets() {
        return targets;
    }

    /**
     * Takes a router in that is registered at {@code address}, HOST:PORT, in a data centre ("" where that is
     * unknown).
     */
    public void routerSeen(String routerId, String address, String dataCentre) {
        context.runOnContext(v -> peers.registered(routerId, address, dataCentre));
    }

    /** Notes that a router is no longer registered. */
    public void routerGone(String routerId) {
        context.runOnContext(v -> peers.unregistered(routerId));
    }

    /** What is kept in the key-value service for routers that start. */
    public FleetRecords records() {
        return records;
    }

    /** True when callers' calls can be served. */
    public boolean ready() {
        return config.keysBelieved() && !stop.underWay();
    }

    PlannedStop stop() {
        return stop;
    }

    /** Begins a planned stop; completes when the process may end. */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        stop.ordered();
        context.runOnContext(
                v -> stop.begin(vertx, callers, exchanges::size, this::cutRest).onComplete(done));
        return done.future();
    }

    private void cutRest() {
        List.copyOf(exchanges).forEach(Exchange::cutByStop);
    }

    /** State for the dump. */
    public Future<JsonObject> dump() {
        Promise<JsonObject> out = Promise.promise();
        context.runOnContext(v -> out.complete(new JsonObject()
                .put("router", settings.routerId())
                .put("configVersion", config.version())
                .put("proofAgeMs", config.proofAgeMs())
                .put("draining", stop.underWay())
                .put("exchanges", exchanges.size())
                .put("attempts", attempts.size())
                .put("notBegun", intake.waiting())
                .put("waiting", new JsonObject(new HashMap<>(placement.waitingByService())))
                .put("targets", placement.targets().size())
                .put("targetConnections", connections.openNow())
                .put("targetConnectionsOpened", connections.opened())
                .put("usageRecordAgeMs", quotas.recordAgeMs())
                .put("quarantined", new JsonObject(crashing.byRequest()))
                .put("targetLimits", placement.limits().size())
                .put("routersKnown", peers.known())
                .put("routersHeardPart", peers.heardPart())));
        return out.future();
    }

    private void usageHeard() {
        quotas.heardPart(peers.heardPart());
        pumpSoon();
    }

    private void tellAll(PeerMessage.BetweenRouters message) {
        peers.tellAll(message);
    }

    private void quarantined(RequestFingerprint request) {
        List.copyOf(exchanges).stream()
                .filter(x -> x.fingerprint().equals(request))
                .forEach(Exchange::quarantined);
    }

    private void slotReserved(String routerId, String targetId) {
        metrics.event("slots.reserved_for_peers");
        peers.slotReserved(routerId, targetId);
    }

    /** Takes a call in that waits for room. */
    void waits(Call call, Exchange exchange) {
        waiting.add(call, exchange);
        peers.callsWait();
    }

    /** Looks for room for waiting calls once the current event has been handled. */
    void pumpSoon() {
        waiting.pumpSoon();
    }

    private void sweep() {
        long nowMs = MonotonicClock.nowMs();
        config.logKeysBelieved();
        List<Attempt> silent = new ArrayList<>();
        for (Attempt a : attempts) {
            if (Silence.tooLong(a, nowMs)) {
                silent.add(a);
            }
        }
        silent.forEach(a -> a.silent(nowMs));
        targets.sweep(nowMs);
        connections.sweep(
                id -> placement.target(id).map(TargetState::takesCalls).orElse(false));
        quotas.heardPart(peers.heardPart());
        inForce().ifPresent(c -> callers.closeIdleLongerThan(c.config().limits().idleTimeoutMs()));
    }

    /** Most connections this router may have to one target of a service: its part of the target's cap. */
    int mostConnections(ForwardingConfig inForce, String service) {
        int cap = inForce.service(service).map(TargetService::maxConnections).orElse(1);
        return Math.max(1, cap / routers());
    }

    int routers() {
        return peers.known();
    }

    /** What calls are checked by; empty until what peers said before the first configuration has been counted. */
    Optional<ConfirmedConfig> inForce() {
        return config.current().filter(c -> peersSide.hasConfig());
    }

    Intake intake() {
        return intake;
    }

    Vertx vertx() {
        return vertx;
    }

    CallProtocol protocol() {
        return protocol;
    }

    ForwardingMetrics metrics() {
        return metrics;
    }

    Placement placement() {
        return placement;
    }

    WorkspaceQuotas quotas() {
        return quotas;
    }

    RetryBudget retries() {
        return retries;
    }

    CrashingRequests crashing() {
        return crashing;
    }

    LimitedTargets limited() {
        return limited;
    }

    Freshness freshness() {
        return freshness;
    }

    ResponseLengthEstimator lengths() {
        return lengths;
    }

    CallerDeadlines deadlines() {
        return deadlines;
    }

    TargetConnections connections() {
        return connections;
    }

    Set<Attempt> attempts() {
        return attempts;
    }

    Set<Exchange> exchanges() {
        return exchanges;
    }

    /** Forgets a call that waits no longer. */
    void waitsNoLonger(Call call) {
        waiting.remove(call);
    }
}
