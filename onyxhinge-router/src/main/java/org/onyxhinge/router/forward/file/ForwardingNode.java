package org.onyxhinge.router.forward.file;

import java.util.Map;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.rollout.RolloutOrder;
import org.onyxhinge.router.forward.ConfigFreshness;
import org.onyxhinge.router.forward.Forwarder;
import org.onyxhinge.runtime.ProcessNetwork;
import org.onyxhinge.runtime.StatusEndpoints;
import org.onyxhinge.runtime.server.StatusServer;

/** A forwarding router that takes its routes and targets from a file, which can be reloaded. */
public final class ForwardingNode implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(ForwardingNode.class);

    private final Vertx vertx;
    private final Forwarder forwarder;
    private ForwardingSetup current;

    private ForwardingNode(Vertx vertx, Forwarder forwarder) {
        this.vertx = vertx;
        this.forwarder = forwarder;
    }

    /** Starts a router that has the VM's link to itself; completes once it accepts calls. */
    public static Future<ForwardingNode> start(ForwardingSetup setup) {
        ProcessNetwork network = ProcessNetwork.create();
        return start(network.vertx(new VertxOptions()), network, setup);
    }

    /** Starts a router beside others on an existing Vert.x instance; the bytes on the link are not counted. */
    public static Future<ForwardingNode> start(Vertx vertx, ForwardingSetup setup) {
        return start(vertx, ProcessNetwork.create(), setup);
    }

    private static Future<ForwardingNode> start(Vertx vertx, ProcessNetwork network, ForwardingSetup setup) {
        MetricRegistry metrics = new MetricRegistry();
        return Forwarder.start(
                        vertx, setup.settings(), new OnyxCallProtocol(), ConfigFreshness.within(0), metrics, network)
                .compose(forwarder -> {
                    StatusEndpoints status = forwarder.statusEndpoints(metrics);
                    return StatusServer.listen(
                                    vertx,
                                    setup.status().host(),
                                    setup.status().port(),
                                    name -> metrics.counter(name).inc(),
                                    status)
                            .map(s -> {
                                ForwardingNode node = new ForwardingNode(vertx, forwarder);
                                node.apply(setup);
                                LOG.infof(
                                        "router started id=%s", setup.settings().routerId());
                                return node;
                            });
                });
    }

    /** Applies the contents of a file in place of the previous ones. The router's own addresses do not change. */
    public synchronized void apply(ForwardingSetup newer) {
        Map<String, Target> targets = newer.targets().stream().collect(Collectors.toMap(Target::id, t -> t));
        if (current != null) {
            current.targets().stream()
                    .map(Target::id)
                    .filter(id -> !targets.containsKey(id))
                    .forEach(forwarder.targets()::targetUnregistered);
            current.routers().keySet().stream()
                    .filter(id -> !newer.routers().containsKey(id))
                    .forEach(forwarder::routerGone);
            current.rollouts().stream()
                    .map(RolloutOrder::service)
                    .filter(s ->
                            newer.rollouts().stream().noneMatch(o -> o.service().equals(s)))
                    .forEach(forwarder.rolloutRecords()::orderRemoved);
        }
        newer.rollouts().forEach(forwarder.rolloutRecords()::ordered);
        targets.values().forEach(forwarder.targets()::targetRegistered);
        forwarder.targets().listAuthoritative();
        newer.routers().forEach((id, router) -> forwarder.routerSeen(id, router.address(), router.dataCentre()));
        forwarder.configure(newer.config());
        current = newer;
    }

    /** Shuts down gracefully: completes when no call is in progress or the grace period is over. */
    public Future<Void> drain() {
        return forwarder.drain();
    }

    /** The state dump. */
    Future<JsonObject> dump() {
        return forwarder.dump();
    }

    @Override
    public void close() {
        vertx.close();
    }
}
