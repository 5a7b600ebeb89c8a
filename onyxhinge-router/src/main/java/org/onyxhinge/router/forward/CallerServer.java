package org.onyxhinge.router.forward;

import java.util.Optional;
import java.util.function.Supplier;

import io.vertx.core.http.HttpConnection;
import org.onyxhinge.core.route.EdgeLimits;
import org.onyxhinge.runtime.server.ServerCapacity;
import org.onyxhinge.runtime.server.ServerConnections;
import org.onyxhinge.runtime.server.ServerEvents;
import org.onyxhinge.runtime.server.ServerLimits;
import org.onyxhinge.runtime.server.ServerLimits.HeadStatus;

/** Bounds callers' connections by the configuration in force. */
final class CallerServer implements ServerEvents {

    /** Limits of requests that come before the first configuration. */
    private static final EdgeLimits LIMITS_BEFORE_CONFIG =
            new EdgeLimits(ServerConnections.MAX_HEAD_BYTES, Integer.MAX_VALUE, 5_000, 30_000);

    private final Supplier<Optional<ConfirmedConfig>> config;
    private final ConfigFreshness freshness;
    private final ForwardingMetrics metrics;
    private final CallsInProgress calls;

    private CallerServer(
            Supplier<Optional<ConfirmedConfig>> config,
            ConfigFreshness freshness,
            ForwardingMetrics metrics,
            CallsInProgress calls) {
        this.config = config;
        this.freshness = freshness;
        this.metrics = metrics;
        this.calls = calls;
    }

    /**
     * Creates a server's connections.
     *
     * @param config the configuration in force, read whenever it is needed
     */
    static ServerConnections create(
            ServerCapacity capacity,
            Supplier<Optional<ConfirmedConfig>> config,
            ConfigFreshness freshness,
            ForwardingMetrics metrics,
            CallsInProgress calls) {
        CallerServer server = new CallerServer(config, freshness, metrics, calls);
        return ServerConnections.create(capacity, server::limits, server);
    }

    /** A head is refused for good only by the newest configuration. */
    private ServerLimits limits() {
        Optional<ConfirmedConfig> active = config.get();
        EdgeLimits edge = active.map(c -> c.config().limits()).orElse(LIMITS_BEFORE_CONFIG);
        boolean current =
                active.map(c -> freshness.isCurrent(c.confirmedAtMs())).orElse(false);
        return new ServerLimits(
                edge.maxHeaderBytes(),
                edge.headerTimeoutMs(),
                edge.idleTimeoutMs(),
                current ? HeadStatus.TOO_LARGE : HeadStatus.UNCERTAIN);
    }

    @Override
    public void count(String name) {
        metrics.event(name);
    }

    @Override
    public void abandon(HttpConnection connection, String why) {
        calls.abandon(connection, why);
    }
}
