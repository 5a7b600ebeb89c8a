package org.onyxhinge.router.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.onyxhinge.router.forward.file.ForwardingSetup;
import org.onyxhinge.router.forward.file.OnyxCallProtocol;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.ProcessNetwork;

/** Starts forwarders with the targets and the configuration of a file, which stays confirmed. */
final class StartedForwarder {

    private static final long TIMEOUT_MS = 20_000;
    private static final long CONFIRMED_MS = 600_000;

    private StartedForwarder() {}

    static Forwarder of(Vertx vertx, ForwardingSetup setup) {
        ConfigFreshness freshness = ConfigFreshness.within(CONFIRMED_MS);
        Forwarder forwarder = Launch.await(
                Forwarder.start(
                        vertx,
                        setup.settings(),
                        new OnyxCallProtocol(),
                        freshness,
                        new MetricRegistry(),
                        ProcessNetwork.create()),
                TIMEOUT_MS);
        setup.targets().forEach(forwarder.targets()::targetRegistered);
        forwarder.configure(setup.config());
        forwarder.confirmed(freshness.stampMs());
        return forwarder;
    }
}
