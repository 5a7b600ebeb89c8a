package org.onyxhinge.router.forward.file;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.router.forward.Conditions;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.Ports;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A part of prompts that crashes targets, in calls of a router that reads an INI file. */
class CrashingPromptPartTest {

    private static final long TIMEOUT_MS = 20_000;
    private static final long DISTANCE_MS = 200;

    private final Vertx vertx = Vertx.vertx();
    private final int port = Ports.free();
    private final TestCaller caller = TestCaller.create(vertx, port);
    private final AtomicInteger calls = new AtomicInteger();

    private static <T> T await(Future<T> f) {
        return Launch.await(f, TIMEOUT_MS);
    }

    /** A target that never answers calls below {@code /print/hold/}. */
    private HttpServer target() {
        return await(vertx.createHttpServer()
                .requestHandler(r -> {
                    calls.incrementAndGet();
                    if (!r.path().startsWith("/print/hold/")) {
                        r.response().end("printed");
                    }
                })
                .listen(0, "127.0.0.1"));
    }

    private Future<TestCaller.Answer> send(String path, String parts) {
        return caller.post("/print/" + path, "k1", OnyxCallProtocol.PROMPT_PARTS, parts);
    }

    @AfterEach
    void close() {
        await(vertx.close());
    }

    /** Guards against a part of prompts that the product's own header names and that no router knows. */
    @Test
    void partNamedInTheProductsOwnHeaderIsQuarantined() {
        List<HttpServer> targets = List.of(target(), target(), target(), target());
        StringBuilder text = new StringBuilder(
                SingleTargetConfig.text(port, targets.getFirst().actualPort(), "", ""));
        for (int i = 1; i < targets.size(); i++) {
            text.append("\n[target x" + i + "]\nservice = mailroom\naddress = 127.0.0.1:"
                    + targets.get(i).actualPort());
        }
        await(ForwardingNode.start(
                vertx,
                SingleTargetConfig.read(
                        text.toString().replace("service = mailroom\n", "service = mailroom\nslots = 1\n"))));
        List<Future<TestCaller.Answer>> held = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            held.add(send("hold/" + i, "bad, own" + i));
        }
        Conditions.await(() -> calls.get() == held.size(), TIMEOUT_MS);
        for (HttpServer target : targets.subList(0, targets.size() - 1)) {
            await(target.close());
            // Targets that end together may have failed for another reason than what they run.
            await(vertx.timer(DISTANCE_MS));
        }
        held.forEach(h -> assertThat(await(h).status(), is(502)));
        assertThat(await(send("new", "bad,own9")).body(), is("not run: quarantined\n"));
        assertThat(await(send("new", "sound,own9")).body(), is("printed"));
    }
}
