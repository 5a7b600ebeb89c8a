package org.onyxhinge.router.forward;

import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.limit.RepeatLimits;
import org.onyxhinge.core.limit.RetryBudget;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.CallerDeadlines;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.ResponseLengthEstimator;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.TargetService;
import org.onyxhinge.router.connection.TargetConnections;
import org.onyxhinge.runtime.ProcessNetwork;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.runtime.StatusEndpoints;
import org.onyxhinge.runtime.server.ServerConnections;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * A forwarding router: connects callers' HTTP requests with targets through placement, quotas and the retry budget. All
 * state belongs to one event loop; the public methods may be called from any thread.
 */
public final class Forwarder {

    private static final Logger LOG = Logger.getLogger(Forwarder.class);
    private static final long SWEEP_INTERVAL_MS = ServerConnections.SWEEP_INTERVAL_MS;
    /** Retry delay after a target rejected a call; gives it time to work off its queue. */
    static final long SHED_RETRY_MS = 500;

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final CallProtocol protocol;
    private final ForwardingMetrics metrics;
    private final Placement placement;
    private final WorkspaceQuotas quotas;
    private final RetryBudget retries;
    private final ConfigFreshness freshness;
    private final ActiveConfig config;
    private final ResponseLengthEstimator lengths = new ResponseLengthEstimator();
    private final CallerDeadlines deadlines = CallerDeadlines.create();
    private final TargetConnections connections;
    private final CallsInProgress calls = new CallsInProgress();
    private final CrashQuarantine crashQuarantine;
    private final TargetRateLimits targetLimits;
    private final Rollouts rollouts;
    private final RetryRecognition retryRecognition;
    private final Optional<RepeatLimits> repeats;
    private final StreamOrigins streamOrigins;
    private final PeerDelegate peerDelegate;
    private final GracefulShutdown shutdown;
    private final BodyMemory bodyMemory;
    private final CallerAdmission admission;
    private final CallerConnections callers;
    private final ServerConnections callerServer;
    private final RequestCost requestCost = new RequestCost();
    private final ProcessNetwork network;
    private final SlowReaders readers;
    private Context context;
    private ReadBarrier reads;
    private CallsAwaitingConfig awaitingConfig;
    private StartScheduler startScheduler;
    private EventLoopDelay loopDelay;
    private WaitingExchanges waiting;
    private RouterPeers peers;
    private RecoveryRecords records;
    private RolloutRecords rolloutRecords;
    private TargetRegistry targets;
    private RelayedProofs relayedProofs;
    private HttpServer server;

    private Forwarder(
            Vertx vertx,
            ForwardingSettings settings,
            CallProtocol protocol,
            ConfigFreshness freshness,
            MetricRegistry registry,
            ProcessNetwork network) {
        this.vertx = vertx;
        this.settings = settings;
        this.protocol = protocol;
        this.freshness = freshness;
        this.config = new ActiveConfig(freshness);
        this.metrics = ForwardingMetrics.create(registry);
        this.network = network;
        this.placement = Placement.create(
                settings.routerId(),
                settings.dataCentre(),
                settings.contention().placement(),
                this::slotReserved);
        this.retries = RetryBudget.create(settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMs());
        this.shutdown = new GracefulShutdown(settings.graceMs());
        this.connections = TargetConnections.create(
                vertx,
                () -> metrics.event("responses.surplus"),
                !settings.contention().readers().enabled());
        this.readers = new SlowReaders(vertx, settings.contention().readers(), metrics, calls::cutReader);
        this.callerServer = CallerServer.create(settings.callers(), this::activeConfig, freshness, metrics, calls);
        this.bodyMemory = BodyMemory.create(settings.bodyMemoryBytes(), callerServer::giveUpStalledBody);
        this.admission = new CallerAdmission(
                network, settings, this::beginDelayMs, this::expectedBytes, () -> peers.hasOthersInDataCentre());
        this.callers = new CallerConnections(metrics, admission, callerServer);
        this.quotas = new WorkspaceQuotas(settings, MonotonicClock.nowMs());
        this.crashQuarantine = new CrashQuarantine(
                vertx, connections::probe, metrics, this::broadcast, calls::quarantined, () -> peers.isFirstOfAll());
        this.targetLimits = new TargetRateLimits(placement, metrics, this::broadcast);
        this.rollouts = new Rollouts(this, settings.rollouts());
        this.repeats = settings.contention().repeatLimits() ? Optional.of(RepeatLimits.create()) : Optional.empty();
        this.retryRecognition = new RetryRecognition(
                vertx,
                settings.contention().retryRecognition(),
                m -> peers.sendToDataCentre(m),
                metrics,
                placement.retryLedger());
        this.streamOrigins = new StreamOrigins(
                vertx, settings.routerId(), () -> peers, () -> reads, freshness::stampMs, this::longestCallMs, metrics);
        this.peerDelegate = new PeerDelegate(this, this::peerUsageChanged);
    }

    /**
     * Starts listening for callers and other routers; calls are refused until a configuration arrives.
     *
     * @param network the connections of {@code vertx}
     */
    public static Future<Forwarder> start(
            Vertx vertx,
            ForwardingSettings settings,
            CallProtocol protocol,
            ConfigFreshness freshness,
            MetricRegistry registry,
            ProcessNetwork network) {
        Forwarder f = new Forwarder(vertx, settings, protocol, freshness, registry, network);
        Promise<Forwarder> started = Promise.promise();
        f.context = vertx.getOrCreateContext();
        f.startScheduler = new StartScheduler(vertx, f.context, f.metrics);
        f.reads = ReadBarrier.of(f.context);
        f.awaitingConfig = new CallsAwaitingConfig(vertx, f.reads);
        f.loopDelay = EventLoopDelay.start(vertx, f.context, f.reads);
        f.waiting = new WaitingExchanges(vertx, f.context, f.reads, f.placement);
        TargetListProof listProof = new TargetListProof(freshness, new AwaitedProof(vertx, f.reads));
        f.relayedProofs = new RelayedProofs(
                f.context, settings.routerId(), () -> f.peers, freshness, f.config, listProof, f.metrics);
        f.targets = new TargetRegistry(
                f.context,
                f.placement,
                f.rollouts,
                f.crashQuarantine,
                f.streamOrigins,
                f::pumpSoon,
                settings.leavingHoldMs(),
                listProof);
        f.rolloutRecords = new RolloutRecords(f.context, f.rollouts);
        f.context.runOnContext(v -> f.listen().onComplete(started));
        return started.future();
    }

    private Future<Forwarder> listen() {
        server = vertx.createHttpServer(CallerServerOptions.create())
                .connectionHandler(callers::opened)
                .exceptionHandler(e -> LOG.debugf("caller connection error=%s", e.getMessage()))
                .invalidRequestHandler(this::malformed)
                .requestHandler(this::request);
        return RouterPeers.start(vertx, settings, peerDelegate)
                .compose(p -> {
                    peers = p;
                    records = new RecoveryRecords(context, quotas, crashQuarantine, p);
                    return server.listen(settings.port(), settings.host());
                })
                .map(s -> {
                    vertx.setPeriodic(SWEEP_INTERVAL_MS, t -> reads.afterRead(this::sweep));
                    admission.start(vertx);
                    LoadReport.start(this);
                    return this;
                });
    }

    /** How long a request that arrives now would wait before it is begun. */
    private long beginDelayMs() {
        return loopDelay.delayMs(MonotonicClock.nowMs())
                + startScheduler.expectedWaitMs()
                + requestCost.expectedMs(callers.unreadCount());
    }

    /** Bytes of the first requests on connections from which none has been read. */
    private long expectedBytes() {
        return requestCost.expectedBytes(callers.unreadCount());
    }

    /** Records that the body of a request has been read. */
    void bodyRead(int bytes) {
        requestCost.received(bytes);
    }

    private void malformed(HttpServerRequest request) {
        metrics.event("callers.malformed");
        HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
    }

    private void request(HttpServerRequest request) {
        metrics.event(LoadReport.REQUESTS);
        callers.requestStarted(request.connection());
        long startNs = System.nanoTime();
        Exchange.begin(this, request);
        requestCost.took(System.nanoTime() - startNs);
    }

    /** Removes an exchange whose caller has received its final response. */
    void exchangeEnded(Exchange exchange, HttpConnection connection) {
        calls.remove(exchange);
        awaitingConfig.remove(exchange);
        callers.requestEnded(connection);
    }

    /**
     * Activates a newer configuration. It applies at once to new calls and to those whose head has not been read; calls
     * held for the first configuration are checked now.
     */
    public void configure(ForwardingConfig newer) {
        config.replace(newer);
        context.runOnContext(v -> {
            peerDelegate.configChanged(newer);
            forgetAllBut(newer);
            awaitingConfig.configured();
        });
    }

    /** Forgets what belongs to routes, services and workspaces that a configuration does not have. */
    private void forgetAllBut(ForwardingConfig current) {
        Set<String> routes = current.routeNames();
        deadlines.retain(routes);
        lengths.retain(routes);
        Set<String> services = current.serviceNames();
        retries.retain(services);
        rollouts.retain(services);
        placement.retainServices(services);
        quotas.retain(current.workspaceNames(), MonotonicClock.nowMs());
        metrics.retain(current);
    }

    /**
     * Records that the store has confirmed the active configuration as the newest.
     *
     * @param askedAtMs when the confirming read was sent, by the suspend-aware clock
     */
    public void confirmed(long askedAtMs) {
        // A confirmation by a read that took long is too old for the calls that wait; another read is under way.
        if (config.confirmed(askedAtMs) && freshness.isCurrent(askedAtMs)) {
            context.runOnContext(v -> awaitingConfig.confirmation().proved());
        }
    }

    /** Records that a read that could have confirmed the active configuration has failed. */
    public void confirmationFailed() {
        context.runOnContext(v -> awaitingConfig.confirmation().readFailed());
    }

    /** Records that a read that could have shown the list of targets to be complete has failed. */
    public void targetListReadFailed() {
        context.runOnContext(v -> targets.listProof().awaited().readFailed());
    }

    /** Records that nothing is left that could tell whether the active configuration is the newest. */
    public void unconfirmed() {
        context.runOnContext(v -> awaitingConfig.confirmation().impossible());
    }

    /** Sets what asks for the newest configuration; {@code ask} may be run on any thread, and often. */
    public void confirmBy(Runnable ask) {
        context.runOnContext(v -> awaitingConfig.confirmation().askBy(ask));
    }

    /** Sets what asks for the newest list of targets; {@code ask} may be run on any thread, and often. */
    public void proveTargetsBy(Runnable ask) {
        context.runOnContext(v -> targets.listProof().awaited().askBy(ask));
    }

    /** Sets this router's copy of the store, which other routers may ask for. */
    public void relayBy(StoreRelay relay) {
        relayedProofs.relayBy(relay);
    }

    /**
     * Asks another router what it has read from the store.
     *
     * @param revision up to which this router has all changes
     */
    public void askOtherRouter(long revision) {
        relayedProofs.ask(revision);
    }

    RelayedProofs relayedProofs() {
        return relayedProofs;
    }

    /** Records that the store was restored from a copy and may have lost what it has acknowledged. */
    public void storeRestored() {
        config.storeRestored();
        targets.registryRestored();
        records.storeRestored();
    }

    /** Calls that are held until they can be checked. */
    CallsAwaitingConfig awaitingConfig() {
        return awaitingConfig;
    }

    /** The registered targets. */
    public TargetRegistry targets() {
        return targets;
    }

    /** Adds a registered router. Its {@code address} is HOST:PORT, its data centre "" if unknown. */
    public void routerSeen(String routerId, String address, String dataCentre) {
        context.runOnContext(v -> peers.registered(routerId, address, dataCentre));
    }

    /** Removes a router that is no longer registered. */
    public void routerGone(String routerId) {
        context.runOnContext(v -> peers.unregistered(routerId));
    }

    /** The records shared with other routers through the key-value service. */
    public RecoveryRecords records() {
        return records;
    }

    /** Operators' orders to move services to other versions, and the records about them. */
    public RolloutRecords rolloutRecords() {
        return rolloutRecords;
    }

    /** Whether callers should send their next requests to another router. */
    boolean prefersOtherRouter() {
        return !ready() || admission.shedsLoad();
    }

    /** True if callers' calls can be served. */
    public boolean ready() {
        return config.keysTrusted() && !shutdown.started();
    }

    GracefulShutdown shutdown() {
        return shutdown;
    }

    /** Starts a graceful shutdown; completes when the process may exit. */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        shutdown.markRequested();
        context.runOnContext(
                v -> shutdown.run(vertx, reads, callers, calls::exchangeCount, calls::refuseUnsent, calls::abort)
                        .onComplete(done));
        return done.future();
    }

    /** The status endpoints of the process, whose metrics are in a registry. */
    public StatusEndpoints statusEndpoints(MetricRegistry registry) {
        return StatusEndpoints.create(registry, ForwardingMetrics::isByRoute, this::dump, this::ready);
    }

    /** The current state, for the state dump. */
    public Future<JsonObject> dump() {
        Promise<JsonObject> out = Promise.promise();
        context.runOnContext(v -> out.complete(StateDump.of(this)));
        return out.future();
    }

    ActiveConfig config() {
        return config;
    }

    private void peerUsageChanged() {
        quotas.heardPart(peers.heardPart());
        pumpSoon();
    }

    private void broadcast(PeerMessage.RouterToRouter message) {
        peers.broadcast(message);
    }

    private void slotReserved(String routerId, String targetId) {
        metrics.event("slots.reserved_for_peers");
        peers.sendSlotReserved(routerId, targetId);
    }

    /** Adds a call that waits for a slot. */
    void enqueue(Call call, Exchange exchange) {
        waiting.add(call, exchange);
        peers.callQueued();
    }

    /** Looks for free slots for waiting calls once the current event has been handled. */
    void pumpSoon() {
        waiting.pumpSoon();
    }

    private void sweep() {
        long nowMs = MonotonicClock.nowMs();
        config.logKeyTrust();
        calls.reportSilent(nowMs);
        calls.giveUpUnanswered(nowMs);
        readers.cut(nowMs);
        callerServer.sweep();
        if (bodyMemory.isAwaited() || readers.streamsHoldTooMuch()) {
            callerServer.giveUpStalled();
        }
        targets.sweep(nowMs);
        rollouts.sweep(nowMs);
        connections.sweep(id -> placement.target(id).map(TargetState::isReady).orElse(false));
        quotas.heardPart(peers.heardPart());
        quotas.sweep(nowMs);
        activeConfig()
                .ifPresent(c -> callers.closeIdleLongerThan(c.config().limits().idleTimeoutMs()));
    }

    /**
     * Number of idle connections that this router may keep to a target: its part of those that the target accepts
     * beyond one for each slot.
     */
    int maxIdleConnections(CallPlan plan, Target target) {
        int accepted = plan.config()
                .service(plan.service())
                .map(TargetService::maxConnections)
                .orElse(1);
        return Math.max(1, (accepted - target.slots()) / routers());
    }

    int routers() {
        return peers.expectedRouters();
    }

    /** Longest time that the routes of a service allow a call. */
    long longestCallMs(String service) {
        return activeConfig().stream()
                .flatMap(c -> c.config().routes().stream())
                .filter(r -> r.shares().stream().anyMatch(s -> s.service().equals(service)))
                .mapToLong(Route::timeoutMs)
                .max()
                .orElse(0);
    }

    /** Whether the store confirmed the configuration within a time; true if it need not be confirmed. */
    boolean confirmedWithin(long maxAgeMs) {
        long ageMs = config.confirmationAgeMs();
        return settings.keyProofMs() == 0 || ageMs >= 0 && ageMs <= maxAgeMs;
    }

    String routerId() {
        return settings.routerId();
    }

    RouterPeers peers() {
        return peers;
    }

    Rollouts rollouts() {
        return rollouts;
    }

    /** The requests that callers repeat too early, if they are limited. */
    Optional<RepeatLimits> repeats() {
        return repeats;
    }

    RetryRecognition retryRecognition() {
        return retryRecognition;
    }

    StreamOrigins streamOrigins() {
        return streamOrigins;
    }

    /**
     * The configuration that calls are checked against; empty until usage received from peers before the first
     * configuration has been counted.
     */
    Optional<ConfirmedConfig> activeConfig() {
        return config.current().filter(c -> peerDelegate.hasConfig());
    }

    /**
     * What a decision passes that rests on what has not been received: a call is sent unless its caller has left, and
     * a timer gives something up unless an answer has come. Either may lie unread when the event loop was late.
     */
    ReadBarrier reads() {
        return reads;
    }

    StartScheduler startScheduler() {
        return startScheduler;
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

    CrashQuarantine crashQuarantine() {
        return crashQuarantine;
    }

    TargetRateLimits targetLimits() {
        return targetLimits;
    }

    ConfigFreshness freshness() {
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

    CallsInProgress calls() {
        return calls;
    }

    BodyMemory bodyMemory() {
        return bodyMemory;
    }

    CallerConnections callers() {
        return callers;
    }

    CallerAdmission admission() {
        return admission;
    }

    EventLoopDelay loopDelay() {
        return loopDelay;
    }

    ProcessNetwork network() {
        return network;
    }

    ForwardingSettings settings() {
        return settings;
    }

    SlowReaders readers() {
        return readers;
    }

    ServerConnections callerServer() {
        return callerServer;
    }

    /** Removes a call that no longer waits. */
    void dequeue(Call call) {
        waiting.remove(call);
    }
}
