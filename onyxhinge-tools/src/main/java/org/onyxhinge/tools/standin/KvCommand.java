package org.onyxhinge.tools.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Logs;
import org.onyxhinge.standins.kv.KvFaults;
import org.onyxhinge.standins.kv.KvStandIn;

/**
 * {@code standin kv}: runs the key-value service stand-in. Its control port accepts {@code POST
 * /faults?down=&delayMs=&lostReplyPercent=} and {@code POST /compact}, and serves {@code GET /stats}.
 */
@Command(name = "kv", description = "Run the key-value service stand-in")
public final class KvCommand implements Runnable {

    @Option(name = "--port", description = "key-value protocol port (default 2379)")
    private int port = 2379;

    @Option(name = "--control-port", description = "HTTP port for fault injection and statistics (default 2380)")
    private int controlPort = 2380;

    @Option(name = "--seed", description = "random seed of lost-reply faults (default 1)")
    private long seed = 1;

    @Override
    public void run() {
        Logs.setUp("kv-standin", "INFO");
        Vertx vertx = Vertx.vertx();
        KvStandIn kv = Launch.await(KvStandIn.start(vertx, "127.0.0.1", port, seed), 10_000);
        HttpServer control = vertx.createHttpServer().requestHandler(req -> {
            if (req.path().equals("/faults")) {
                kv.faults(new KvFaults(
                        Boolean.parseBoolean(req.getParam("down", "false")),
                        Long.parseLong(req.getParam("delayMs", "0")),
                        Integer.parseInt(req.getParam("lostReplyPercent", "0"))));
                req.response().end("ok\n");
            } else if (req.path().equals("/compact")) {
                kv.compact();
                req.response().end("ok\n");
            } else {
                kv.stats()
                        .onSuccess(s -> req.response()
                                .putHeader("content-type", "application/json")
                                .end(s.encode()));
            }
        });
        Launch.await(control.listen(controlPort, "127.0.0.1"), 10_000);
        System.out.println("kv stand-in listening port=" + kv.port() + " control=" + control.actualPort());
        Launch.runUntilStopped(() -> vertx.close().compose(v -> Future.succeededFuture()), 5_000);
    }
}
