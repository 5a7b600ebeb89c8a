package org.onyxhinge.tools.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.Vertx;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.standins.engine.EngineSpec;
import org.onyxhinge.standins.engine.EngineStandIn;

/** {@code standin engine}: runs a model engine stand-in. */
@Command(name = "engine", description = "Run a model engine stand-in")
public final class EngineCommand implements Runnable {

    @Option(name = "--id", description = "engine id")
    @Required
    private String id;

    @Option(name = "--port", description = "HTTP port (default 8000)")
    private int port = 8000;

    @Option(name = "--max-batch", description = "maximum number of concurrent sequences (default 8)")
    private int maxBatch = 8;

    @Option(name = "--prefill", description = "prompt tokens per second (default 20000)")
    private int prefill = 20_000;

    @Option(name = "--decode", description = "tokens per second per sequence (default 50)")
    private int decode = 50;

    @Option(name = "--cache", description = "prefix cache capacity in prefixes (default 64)")
    private int cache = 64;

    @Option(name = "--load-lag-ms", description = "age of the published load report (default 200)")
    private long loadLagMs = 200;

    @Option(
            name = "--checks-fencing",
            description = "reject orders with a stale fencing token (default: ignore the token)")
    private boolean checksFencing;

    @Override
    public void run() {
        Logs.setUp("engine-" + id, "INFO");
        Vertx vertx = Vertx.vertx();
        EngineSpec spec = new EngineSpec(id, maxBatch, prefill, decode, cache, loadLagMs, checksFencing);
        EngineStandIn e = Launch.await(EngineStandIn.start(vertx, "127.0.0.1", port, spec), 10_000);
        System.out.println("engine stand-in " + id + " listening port=" + e.port());
        Launch.runUntilStopped(vertx::close, 5_000);
    }
}
