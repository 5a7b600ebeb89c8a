package org.onyxhinge.wire.peer;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import org.jboss.logging.Logger;

/**
 * Accepts connections whose peers are unknown until their first message has been read. What such connections hold is
 * bounded, each in time and all together in bytes. Confined to one event loop.
 */
public final class PeerAcceptor {

    /** A peer sends its first message as soon as it is connected. */
    private static final long FIRST_MESSAGE_MS = 5_000;

    private static final int MAX_UNIDENTIFIED = 256;

    /** Part of the heap for what is received before the first messages are whole. */
    private static final int HEAP_PARTS = 64;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16_384;

    private static final Logger LOG = Logger.getLogger(PeerAcceptor.class);

    private final Vertx vertx;
    private final long maxBytes;
    /** Bytes received on each connection without a whole message, the oldest connection first. */
    private final Map<NetSocket, Long> unidentified = new LinkedHashMap<>();

    private final Set<NetSocket> identified = new HashSet<>();
    private long receivedBytes;

    private PeerAcceptor(Vertx vertx, long maxBytes) {
        this.vertx = vertx;
        this.maxBytes = maxBytes;
    }

    /** Creates an acceptor without connections. */
    public static PeerAcceptor create(Vertx vertx) {
        return new PeerAcceptor(vertx, Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    /** Reads in parts that are smaller than by default: what is read is on the heap until it is looked at. */
    private static void readInSmallParts(NetSocket socket) {
        ((NetSocketInternal) socket)
                .channelHandlerContext()
                .channel()
                .config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
    }

    /** Accepts a connection; {@code received} and {@code closed} are called as by {@link PeerConnection#attach}. */
    public PeerConnection accept(
            NetSocket socket, PeerTraffic traffic, Consumer<PeerMessage> received, Runnable closed) {
        readInSmallParts(socket);
        unidentified.put(socket, 0L);
        long timer = vertx.setTimer(FIRST_MESSAGE_MS, t -> {
            if (unidentified.containsKey(socket)) {
                close(socket, "no message in time");
            }
        });
        if (unidentified.size() > MAX_UNIDENTIFIED) {
            close(unidentified.keySet().iterator().next(), "too many connections");
        }
        return PeerConnection.attach(
                socket,
                traffic,
                bytes -> identified.contains(socket) || received(socket, bytes),
                message -> {
                    if (forget(socket)) {
                        identified.add(socket);
                        vertx.cancelTimer(timer);
                    }
                    received.accept(message);
                },
                () -> {
                    forget(socket);
                    identified.remove(socket);
                    vertx.cancelTimer(timer);
                    closed.run();
                });
    }

    /** Returns whether to read what has been received: not what comes on a connection that is being closed. */
    private boolean received(NetSocket socket, int bytes) {
        if (!unidentified.containsKey(socket)) {
            return false;
        }
        unidentified.merge(socket, (long) bytes, Long::sum);
        receivedBytes += bytes;
        while (receivedBytes > maxBytes) {
            Optional<NetSocket> largest = unidentified.entrySet().stream()
                    .max(Comparator.comparingLong(Map.Entry::getValue))
                    .map(Map.Entry::getKey);
            close(largest.orElseThrow(), "too many bytes without a message");
        }
        return unidentified.containsKey(socket);
    }

    private boolean forget(NetSocket socket) {
        Long bytes = unidentified.remove(socket);
        receivedBytes -= bytes == null ? 0 : bytes;
        return bytes != null;
    }

    private void close(NetSocket socket, String why) {
        LOG.warnf("peer connection closed remote=%s why=\"%s\"", socket.remoteAddress(), why);
        forget(socket);
        socket.close();
    }
}
