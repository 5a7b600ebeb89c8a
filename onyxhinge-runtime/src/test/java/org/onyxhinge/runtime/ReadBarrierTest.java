package org.onyxhinge.runtime;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/** Actions of an event loop that must know what its connections have received before them. */
class ReadBarrierTest {

    private static final long TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context context = vertx.getOrCreateContext();
    private final ReadBarrier barrier = ReadBarrier.of(context);
    /** What happened on the event loop, in order. */
    private final List<String> events = new ArrayList<>();

    private final CompletableFuture<List<String>> done = new CompletableFuture<>();

    private void action(String name) {
        barrier.afterRead(() -> events.add(name));
    }

    private void finish() {
        barrier.afterRead(() -> done.complete(List.copyOf(events)));
    }

    private List<String> events() throws Exception {
        return done.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @AfterEach
    void close() {
        Launch.await(vertx.close(), TIMEOUT_MS);
    }

    @Nested
    class LateLoop {

        /** Guards against an action that is run between a message and the end of its connection. */
        @Test
        void endOfAConnectionIsReadBeforeTheAction() throws Exception {
            NetServer server = Launch.await(
                    vertx.createNetServer()
                            .connectHandler(c -> {
                                c.closeHandler(v -> events.add("end"));
                                c.handler(b -> {
                                    events.add("message");
                                    action("action");
                                    finish();
                                });
                            })
                            .listen(0, "127.0.0.1"),
                    TIMEOUT_MS);
            context.runOnContext(v -> sleep(300));
            try (Socket socket = new Socket("127.0.0.1", server.actualPort())) {
                socket.getOutputStream().write(1);
            }
            assertThat(events(), contains("message", "end", "action"));
        }

        /** Guards against a long series of actions during which no connection is read. */
        @Test
        void connectionsAreReadBetweenLongActions() throws Exception {
            NetServer server = Launch.await(
                    vertx.createNetServer()
                            .connectHandler(c -> c.handler(b -> events.add("message")))
                            .listen(0, "127.0.0.1"),
                    TIMEOUT_MS);
            try (Socket socket = new Socket("127.0.0.1", server.actualPort())) {
                context.runOnContext(v -> {
                    for (int i = 0; i < 10; i++) {
                        barrier.afterRead(() -> {
                            write(socket);
                            sleep(30);
                            events.add("action");
                        });
                    }
                    finish();
                });
                List<String> events = events();
                assertThat(events.toString(), events.indexOf("message"), is(1));
            }
        }

        private static void write(Socket socket) {
            try {
                socket.getOutputStream().write(1);
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }

    @Nested
    class Order {

        @Test
        void actionsRunInTheOrderInWhichTheyWereAdded() throws Exception {
            context.runOnContext(v -> {
                action("1");
                action("2");
                barrier.afterRead(() -> action("4"));
                action("3");
                barrier.afterRead(ReadBarrierTest.this::finish);
            });
            assertThat(events(), contains("1", "2", "3", "4"));
        }

        /** Guards against an error of one action that keeps all later ones from being run. */
        @Test
        void actionsAfterAFailedOneAreRun() throws Exception {
            context.runOnContext(v -> {
                barrier.afterRead(() -> {
                    throw new IllegalStateException("failed action");
                });
                action("next");
                finish();
            });
            assertThat(events(), contains("next"));
        }
    }
}
