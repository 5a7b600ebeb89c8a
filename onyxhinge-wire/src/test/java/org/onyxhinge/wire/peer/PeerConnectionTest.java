package org.onyxhinge.wire.peer;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.onyxhinge.wire.frame.FrameReader;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class PeerConnectionTest {

    private static final long TIMEOUT_MS = 5_000;

    /** Far longer than it takes until the other side sees that a connection was closed. */
    private static final long CLOSE_MS = 300;

    /** A message with a type that no version has. */
    private static final byte[] UNREADABLE = {(byte) 0x91, 0x7f};

    private final Vertx vertx = Vertx.vertx();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private NetSocket peer;

    @BeforeEach
    void connect() throws Exception {
        NetServer server = vertx.createNetServer()
                .connectHandler(
                        s -> PeerConnection.attach(s, new PeerTraffic(), this::receive, () -> closed.set(true)));
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .actualPort();
        peer = vertx.createNetClient()
                .connect(port, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private void receive(PeerMessage message) {
        if (message instanceof PeerMessage.Subscribe s) {
            if (s.routerId().equals("failing")) {
                throw new IllegalStateException("test");
            }
            received.add(s.routerId());
        }
    }

    private static Buffer subscribe(String routerId) {
        return FrameReader.frame(PeerCodec.encode(new PeerMessage.Subscribe(routerId)));
    }

    private static void await(BooleanSupplier condition) {
        long untilMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.getAsBoolean() && System.currentTimeMillis() < untilMs) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a link between routers of two versions that one unknown message ends, again and again. */
    @Test
    void anUnreadableMessageCostsOnlyItself() {
        AtomicBoolean peerClosed = new AtomicBoolean();
        peer.closeHandler(v -> peerClosed.set(true));
        peer.write(subscribe("a")
                .appendBuffer(FrameReader.frame(UNREADABLE))
                .appendBuffer(FrameReader.frame(UNREADABLE))
                .appendBuffer(subscribe("b")));
        await(() -> received.size() == 2);
        vertx.timer(CLOSE_MS, TimeUnit.MILLISECONDS)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        peer.write(subscribe("c"));
        await(() -> received.size() == 3);
        assertThat(received, is(List.of("a", "b", "c")));
        assertThat(closed.get() || peerClosed.get(), is(false));
    }

    /** Guards against messages that wait, because of an error with the one before, until more is received. */
    @Test
    void aMessageThatIsNotTakenDelaysNoOther() {
        peer.write(subscribe("a").appendBuffer(subscribe("failing")).appendBuffer(subscribe("b")));
        await(() -> received.size() == 2);
        assertThat(received, is(List.of("a", "b")));
        assertThat(closed.get(), is(false));
    }

    @Test
    void anUnreadableFirstMessageClosesTheConnection() {
        peer.write(FrameReader.frame(UNREADABLE).appendBuffer(subscribe("a")));
        await(closed::get);
        assertThat(closed.get(), is(true));
    }

    @Test
    void anImpossibleLengthClosesTheConnection() {
        peer.write(subscribe("a").appendInt(FrameReader.MAX_FRAME_BYTES + 1).appendBuffer(subscribe("b")));
        await(closed::get);
        assertThat(closed.get(), is(true));
        assertThat(received.stream().filter("b"::equals).toList(), is(empty()));
    }
}
