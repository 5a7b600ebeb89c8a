package org.onyxhinge.runtime.server;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.impl.ConnectionBase;
import org.jboss.logging.Logger;
import org.onyxhinge.core.admit.ClientConnection;
import org.onyxhinge.core.admit.ConnectionDisplacement;
import org.onyxhinge.core.admit.ConnectionPhase;
import org.onyxhinge.core.limit.MemoryBudget;

/**
 * The open connections of an HTTP/1.1 server, and what they hold together. Where there is no room, the connection that
 * holds most for the least progress gives way, or the new request is refused. Confined to one event loop.
 */
public final class ServerConnections {

    /** Time between two calls of {@link #sweep}. */
    public static final long SWEEP_INTERVAL_MS = 100;

    /** Largest head that can be configured. */
    public static final int MAX_HEAD_BYTES = 65_536;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;

    private static final int MAX_READ_BYTES = 16_384;

    /** Most reads from one connection in a turn of the event loop, which others wait for. */
    private static final int MAX_READS = 8;

    /** At most one line is logged in this time. */
    private static final long LOG_INTERVAL_MS = 1_000;

    /** Connections with unread responses that are closed in one sweep while others wait for memory. */
    private static final int MAX_STALLED_PER_SWEEP = 10;

    private static final Logger LOG = Logger.getLogger(ServerConnections.class);

    private final ServerCapacity capacity;
    private final Supplier<ServerLimits> limits;
    private final ServerEvents events;
    private final MemoryBudget memory;
    private final ConnectionDisplacement displacement = ConnectionDisplacement.create();
    private final Map<ClientConnection, RequestGate> open = new LinkedHashMap<>();
    private int pacedCount;
    private long loggedAtMs;
    private int unlogged;

    private ServerConnections(ServerCapacity capacity, Supplier<ServerLimits> limits, ServerEvents events) {
        this.capacity = capacity;
        this.limits = limits;
        this.events = events;
        this.memory = MemoryBudget.create(capacity.memoryBytes());
        this.loggedAtMs = nowMs() - LOG_INTERVAL_MS;
    }

    /**
     * Creates an instance without connections.
     *
     * @param limits the limits in force, read whenever they are needed
     */
    public static ServerConnections create(
            ServerCapacity capacity, Supplier<ServerLimits> limits, ServerEvents events) {
        return new ServerConnections(capacity, limits, events);
    }

    /** Options of a server whose connections are passed to {@link #opened}. Only HTTP/1.1 is served. */
    public static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxInitialLineLength(MAX_HEAD_BYTES)
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false);
    }

    /** Calls {@link #sweep} from now on; for owners without a timer of their own. */
    public void sweepPeriodically(Vertx vertx) {
        vertx.setPeriodic(SWEEP_INTERVAL_MS, t -> sweep());
    }

    /**
     * Handles a new connection, from which nothing has been read.
     *
     * @return false if it was closed, because there is no room and no other connection gives way
     */
    public boolean opened(HttpConnection connection) {
        if (open.size() >= capacity.maxConnections() && !displaceForConnection()) {
            events.count("connections.closed.full");
            connection.close();
            return false;
        }
        ClientConnection use = ClientConnection.accepted(nowMs());
        RequestGate gate = new RequestGate(this, connection, use);
        open.put(use, gate);
        ChannelHandlerContext handler = ((ConnectionBase) connection).channelHandlerContext();
        AdaptiveRecvByteBufAllocator reads =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        handler.channel().config().setRecvByteBufAllocator(reads.maxMessagesPerRead(MAX_READS));
        handler.pipeline().addFirst(RequestGate.class.getName(), gate);
        handler.pipeline().addBefore(handler.name(), RequestObserver.class.getName(), new RequestObserver(gate));
        return true;
    }

    private boolean displaceForConnection() {
        Optional<RequestGate> gate = displacement.forConnection(open.keySet()).map(open::get);
        gate.ifPresent(g -> giveUp(g, "displaced"));
        return gate.isPresent();
    }

    private void giveUp(RequestGate gate, String why) {
        open.remove(gate.use());
        gate.giveUp(why);
    }

    /** Removes a connection that is closed. */
    void closed(RequestGate gate) {
        open.remove(gate.use());
    }

    /** Reserves memory for a connection; others that hold much and do not progress give way. */
    boolean reserve(ClientConnection use, long bytes) {
        while (!memory.tryReserve(bytes, use.heldBytes(), 0)) {
            Optional<ClientConnection> other =
                    displacement.forMemory(open.keySet()).filter(c -> c != use && c.heldBytes() > 0);
            if (other.isEmpty()) {
                return false;
            }
            giveUp(open.get(other.get()), "memory");
        }
        use.held(bytes);
        return true;
    }

    void release(ClientConnection use, long bytes) {
        memory.release(bytes);
        use.held(-bytes);
    }

    /**
     * Gives up the request whose body has not progressed for some time and that holds the most.
     *
     * @return false if there is none
     */
    public boolean giveUpStalledBody() {
        Optional<RequestGate> gate = displacement
                .stalled(open.keySet())
                .filter(c -> c.phase() instanceof ConnectionPhase.BodyArriving)
                .map(open::get);
        gate.ifPresent(g -> giveUp(g, "stalled"));
        return gate.isPresent();
    }

    /** Gives up some of the requests and responses that do not progress, because others wait for memory. */
    public void giveUpStalled() {
        for (int i = 0; i < MAX_STALLED_PER_SWEEP; i++) {
            Optional<RequestGate> gate = displacement.stalled(open.keySet()).map(open::get);
            if (gate.isEmpty()) {
                return;
            }
            giveUp(gate.get(), "stalled");
        }
    }

    /** Closes the connections whose clients are too late; called every {@link #SWEEP_INTERVAL_MS}. */
    public void sweep() {
        long nowMs = nowMs();
        ServerLimits current = limits.get();
        List.copyOf(open.values()).forEach(gate -> gate.sweep(current, nowMs));
    }

    ServerLimits limits() {
        return limits.get();
    }

    ServerCapacity capacity() {
        return capacity;
    }

    ServerEvents events() {
        return events;
    }

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Changes the number of connections that share the time for framing. */
    void paced(int change) {
        pacedCount += change;
    }

    /**
     * Pause of one of the connections that share the time for framing. A read of one takes a fraction of a millisecond,
     * and so do the reads of all together.
     */
    long pauseMs() {
        return pacedCount;
    }

    /** Counts and logs that a bound was met. */
    void acted(String why, RequestGate gate) {
        events.count("connections.closed." + why);
        unlogged++;
        long nowMs = nowMs();
        if (nowMs - loggedAtMs >= LOG_INTERVAL_MS) {
            ClientConnection use = gate.use();
            LOG.warnf(
                    "connections closed count=%d why=%s client=%s phase=%s phaseMs=%d heldBytes=%d open=%d "
                            + "allHeldBytes=%d",
                    unlogged,
                    why,
                    gate.connection().remoteAddress(),
                    use.phase().label(),
                    use.phaseMs(nowMs),
                    use.heldBytes(),
                    open.size(),
                    memory.reservedBytes());
            unlogged = 0;
            loggedAtMs = nowMs;
        }
    }

    /** The open connections by phase, and what they hold, for the state dump. */
    public JsonObject dump() {
        Map<String, Object> byPhase = new TreeMap<>();
        open.keySet().forEach(c -> byPhase.merge(c.phase().label(), 1, (a, b) -> (int) a + (int) b));
        return new JsonObject()
                .put("open", open.size())
                .put("most", capacity.maxConnections())
                .put("byPhase", new JsonObject(byPhase))
                .put("heldBytes", memory.reservedBytes())
                .put("mostHeldBytes", capacity.memoryBytes());
    }
}
