package org.onyxhinge.tools.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.standins.vmlist.VmListStandIn;

/** {@code standin vmlist}: runs a stand-in of the platform's VM list, which shows changes with a delay. */
@Command(name = "vmlist", description = "Run the VM list stand-in")
public final class VmListCommand implements Runnable {

    @Option(name = "--port", description = "HTTP port (default 8500)")
    private int port = 8500;

    @Option(name = "--lag-ms", description = "delay until a change becomes visible (default 1000)")
    private long lagMs = 1_000;

    @Override
    public void run() {
        Logs.setUp("vmlist-standin", "INFO");
        Vertx vertx = Vertx.vertx();
        VmListStandIn list = Launch.await(VmListStandIn.start(vertx, "127.0.0.1", port, lagMs), 10_000);
        System.out.println("VM list stand-in listening port=" + list.port());
        Launch.runUntilStopped(vertx::close, 5_000);
    }
}
