package org.onyxhinge.tools;

import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.cli.RouterMain;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A forwarding router as a process whose callers use each of many routes. */
class ManyRoutesTest {

    private static final int ROUTES = 1_500;
    private static final long TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final HttpClient client = vertx.createHttpClient();
    private final int port = Ports.free();
    private Processes processes;

    @AfterEach
    void close() throws Exception {
        processes.close();
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    private void startRouter() throws Exception {
        HttpServer target = Launch.await(
                vertx.createHttpServer()
                        .requestHandler(r -> r.response()
                                .putHeader("X-Onyx-Request-Id", r.getHeader("X-Onyx-Request-Id"))
                                .end("printed"))
                        .listen(0, "127.0.0.1"),
                TIMEOUT_MS);
        StringBuilder text = new StringBuilder(String.join(
                "\n",
                "[router]",
                "id = r1",
                "data_centre = here",
                "listen = 127.0.0.1:" + port,
                "status = 127.0.0.1:" + Ports.free(),
                "peer_listen = 127.0.0.1:" + Ports.free(),
                "[service mailroom]",
                "[workspace agency]",
                "api_keys = k1",
                "[target m1]",
                "service = mailroom",
                "address = 127.0.0.1:" + target.actualPort(),
                ""));
        for (int i = 0; i < ROUTES; i++) {
            text.append(
                    "[route r" + i + "]\nhost = letters.example\npath_prefix = /r" + i + "/\nservices = mailroom\n");
        }
        Path dir = Files.createDirectories(Path.of("target", "sites", "many-routes"));
        Path file = Files.writeString(dir.resolve("forward.ini"), text);
        processes = new Processes(dir);
        processes.startJvm("r1", RouterMain.class, "forward", "--config", file.toString());
        Processes.awaitPort(port);
    }

    private int status(int route) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI("/r" + route + "/1")
                .putHeader("Host", "letters.example")
                .putHeader("X-Onyx-Key", "k1")
                .putHeader("X-Onyx-Request-Id", "call-" + route);
        // On the client's own context, so that no response is read before its handler is set.
        Future<Integer> status = Future.future(p -> context.runOnContext(v -> client.request(options)
                .compose(r -> r.send())
                .compose(response -> response.body().map(b -> response.statusCode()))
                .onComplete(p)));
        return Launch.await(status, TIMEOUT_MS);
    }

    /** Guards against memory that a router keeps for each route that has had a call. */
    @Test
    void oneCallOnEachRouteLeavesMemoryForMore() throws Exception {
        startRouter();
        for (int i = 0; i < ROUTES; i++) {
            assertThat("call " + i, status(i), is(200));
        }
        assertThat("the process goes on", processes.isRunning("r1"), is(true));
    }
}
