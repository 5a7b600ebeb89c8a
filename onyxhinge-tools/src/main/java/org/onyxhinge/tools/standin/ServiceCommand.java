package org.onyxhinge.tools.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.standins.service.PlainServiceStandIn;

/** {@code standin service}: runs a plain service stand-in whose calls are not idempotent. */
@Command(name = "service", description = "Run a plain service stand-in")
public final class ServiceCommand implements Runnable {

    @Option(name = "--port", description = "HTTP port (default 8100)")
    private int port = 8100;

    @Option(name = "--latency-ms", description = "service time of a call (default 20)")
    private long latencyMs = 20;

    @Override
    public void run() {
        Logs.setUp("service-standin", "INFO");
        Vertx vertx = Vertx.vertx();
        PlainServiceStandIn s = Launch.await(PlainServiceStandIn.start(vertx, "127.0.0.1", port, latencyMs), 10_000);
        System.out.println("service stand-in listening port=" + s.port());
        Launch.runUntilStopped(vertx::close, 5_000);
    }
}
