package org.onyxhinge.runtime.server;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import org.onyxhinge.core.admit.ClientConnection;
import org.onyxhinge.core.admit.ConnectionPhase;

/**
 * Passes the bytes of a connection to the HTTP codec one request at a time: a head once it is whole, a body as it
 * arrives, and the next head once the response has been taken. What a connection holds until then are its bytes, not
 * objects. Refuses heads that are too large, and bodies for which there is no memory.
 */
final class RequestGate extends ChannelDuplexHandler {

    /** A client may still be sending when it is refused; it gets this long to read the response. */
    private static final long LINGER_MS = 500;

    /** What a client that is refused may send until it is disconnected. */
    private static final int LINGER_BYTES = 256 << 10;

    /** Bytes of empty lines that are skipped before a request. */
    private static final int MAX_EMPTY_BYTES = 1_024;

    /**
     * Bytes of next requests beyond which a connection is not read. Up to there it is, so that its end is noticed: a
     * client that has left must not be served.
     */
    private static final int MAX_HELD_BYTES = 16_384;

    /** Framing of chunks in one read that costs no more time than other requests do. */
    private static final int MAX_UNPACED_BYTES = 2_048;

    private static final String RETRY_SOON = "Retry-After: 0.040\r\n";

    private final ServerConnections owner;
    private final HttpConnection connection;
    private final ClientConnection use;
    private final ConnectionMemory memory;
    private final HeadScanner head = new HeadScanner();
    private ChannelHandlerContext context;
    private Step step = Step.HEAD;
    private BodyFraming framing;
    private ChunkReader chunks;
    private long missingBytes;
    /** What has been received and not passed on; null if nothing. */
    private ByteBuf held;

    private int emptyBytes;
    private int discardedBytes;
    private long pendingBytes;
    private boolean requestRead;
    private boolean responseBegun;
    private boolean responseTaken;
    /** Whether this gate has stopped reading. */
    private boolean stopped;

    private boolean paused;
    /** Whether this is one of the connections that share the time for framing. */
    private boolean paced;
    /** Whether this gate has answered in place of the application. */
    private boolean discardsWrites;

    /** What the bytes that come next are. */
    private enum Step {
        HEAD,
        BODY,
        /** The next request, which waits for the response to this one. */
        NEXT_REQUEST,
        /** Nothing that is wanted any more. */
        REFUSED
    }

    RequestGate(ServerConnections owner, HttpConnection connection, ClientConnection use) {
        this.owner = owner;
        this.connection = connection;
        this.use = use;
        this.memory = ConnectionMemory.of(owner, use);
    }

    ClientConnection use() {
        return use;
    }

    HttpConnection connection() {
        return connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed();
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        closed();
    }

    private void closed() {
        step = Step.REFUSED;
        endPace();
        dropHeld();
        memory.releaseMessage();
        owner.closed(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!(msg instanceof ByteBuf in)) {
            ctx.fireChannelRead(msg);
        } else if (step == Step.REFUSED) {
            discard(in);
        } else if (held == null) {
            process(in);
        } else {
            ByteBuf joined = held;
            held = null;
            joined.writeBytes(in);
            in.release();
            process(joined);
        }
    }

    private void discard(ByteBuf in) {
        discardedBytes += in.readableBytes();
        in.release();
        if (discardedBytes > LINGER_BYTES) {
            context.close();
        }
    }

    /** Passes on what may be passed on, and keeps the rest. */
    private void process(ByteBuf bytes) {
        boolean goesOn = true;
        try {
            while (goesOn && bytes.isReadable()) {
                goesOn = switch (step) {
                    case HEAD -> passHead(bytes);
                    case BODY -> passBody(bytes);
                    case NEXT_REQUEST, REFUSED -> false;
                };
            }
        } finally {
            if (bytes.isReadable() && step != Step.REFUSED) {
                hold(bytes);
            } else {
                bytes.release();
                memory.holdAhead(0);
            }
        }
    }

    private boolean passHead(ByteBuf bytes) {
        if (use.phase() instanceof ConnectionPhase.Idle) {
            emptyBytes += HeadScanner.skipEmptyLines(bytes, MAX_EMPTY_BYTES + 1);
            if (emptyBytes > MAX_EMPTY_BYTES) {
                refuse("empty_lines", "400 Bad Request", "");
                return false;
            }
            if (!bytes.isReadable()) {
                return false;
            }
            use.enter(new ConnectionPhase.HeadArriving(), owner.nowMs());
        }
        int size = head.find(bytes);
        int received = size < 0 ? bytes.readableBytes() : size;
        if (received > owner.limits().maxHeadBytes()) {
            refuseHead();
            return false;
        }
        return size >= 0 && passHead(bytes.readRetainedSlice(size), size);
    }

    private boolean passHead(ByteBuf whole, int size) {
        if (!memory.reserveMessage(owner.capacity().requestCost(size, head.lines()))) {
            whole.release();
            refuseForMemory();
            return false;
        }
        framing = null;
        use.enter(new ConnectionPhase.BodyArriving(), owner.nowMs());
        step = Step.BODY;
        context.fireChannelRead(whole);
        if (step == Step.REFUSED) {
            return false;
        }
        if (!requestRead && (framing == null || framing instanceof BodyFraming.Unknown)) {
            refuse("malformed", "400 Bad Request", "");
            return false;
        }
        beginBody();
        return endRequestIfRead();
    }

    private void beginBody() {
        switch (framing) {
            case BodyFraming.Length l -> missingBytes = l.bytes();
            case BodyFraming.Chunked c ->
                chunks = ChunkReader.create(owner.limits().maxHeadBytes());
            case BodyFraming.Unknown u -> missingBytes = 0;
        }
    }

    private boolean passBody(ByteBuf bytes) {
        int before = bytes.readableBytes();
        ByteBuf part = switch (framing) {
            case BodyFraming.Chunked c -> chunks.read(bytes);
            case BodyFraming.Length l -> bytes.readRetainedSlice((int) Math.min(before, missingBytes));
            case BodyFraming.Unknown u -> Unpooled.EMPTY_BUFFER;
        };
        int received = before - bytes.readableBytes();
        int framingBytes = received - part.readableBytes();
        missingBytes -= received;
        use.progressed(received);
        if (!responseBegun && !memory.reserveMessage((long) owner.capacity().bodyCost() * received)) {
            part.release();
            refuseForMemory();
            return false;
        }
        context.fireChannelRead(part);
        if (step == Step.REFUSED) {
            return false;
        }
        if (chunks != null && chunks.isTooLong()) {
            refuseHead();
            return false;
        }
        pace(framingBytes);
        boolean ended = framing instanceof BodyFraming.Chunked ? chunks.isWhole() : missingBytes == 0;
        if (ended != requestRead) {
            // The codec takes another part of the bytes for the body; the application may have the request already.
            close("malformed");
            return false;
        }
        return endRequestIfRead();
    }

    /** Goes on to the next request if this one is whole and its response has been taken. */
    private boolean endRequestIfRead() {
        if (!requestRead) {
            return true;
        }
        if (responseTaken) {
            endRequest();
            return true;
        }
        step = Step.NEXT_REQUEST;
        use.enter(new ConnectionPhase.UnderWay(), owner.nowMs());
        return false;
    }

    private void endRequest() {
        endPace();
        memory.releaseMessage();
        use.served();
        use.enter(new ConnectionPhase.Idle(), owner.nowMs());
        head.reset();
        chunks = null;
        emptyBytes = 0;
        requestRead = false;
        responseBegun = false;
        responseTaken = false;
        step = Step.HEAD;
    }

    /** The codec has read a head. */
    void headRead(BodyFraming body) {
        framing = body;
    }

    /** The codec has read a whole request. */
    void requestRead() {
        requestRead = true;
        if (framing == null) {
            framing = new BodyFraming.Unknown();
        }
    }

    /** The codec cannot read the request; what follows is not read, and whoever answers it closes the connection. */
    void malformed() {
        if (step != Step.REFUSED) {
            step = Step.REFUSED;
            closeLater();
        }
    }

    void responseBegun() {
        responseBegun = true;
    }

    /** The operating system has taken the last bytes of the response. */
    void responseTaken(boolean written) {
        if (!written || step == Step.REFUSED) {
            return;
        }
        responseTaken = true;
        if (step == Step.NEXT_REQUEST) {
            // The one who writes has not finished with this request.
            context.executor().execute(this::nextRequest);
        } else {
            use.enter(new ConnectionPhase.Discarding(), owner.nowMs());
        }
    }

    private void nextRequest() {
        if (step != Step.NEXT_REQUEST || !context.channel().isActive()) {
            return;
        }
        endRequest();
        if (held != null) {
            ByteBuf bytes = held;
            held = null;
            process(bytes);
            context.fireChannelReadComplete();
        }
        readOn();
    }

    /** Reads no further while much waits for the response, even if the application asks for it. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        if (isFull()) {
            stopReading();
        } else {
            ctx.read();
        }
    }

    /** Stops until {@link #readOn}, unless the application has stopped already. */
    private void stopReading() {
        if (context.channel().config().isAutoRead()) {
            stopped = true;
            context.channel().config().setAutoRead(false);
        }
    }

    private boolean isFull() {
        return paused || step == Step.NEXT_REQUEST && held != null && held.readableBytes() >= MAX_HELD_BYTES;
    }

    /** Reads on after a pause if most of what was received is framing, which takes time for little of a body. */
    private void pace(int framingBytes) {
        if (framingBytes <= MAX_UNPACED_BYTES || paused || requestRead) {
            return;
        }
        if (!paced) {
            paced = true;
            owner.paced(1);
        }
        paused = true;
        stopReading();
        context.executor()
                .schedule(
                        () -> {
                            paused = false;
                            readOn();
                        },
                        owner.pauseMs(),
                        TimeUnit.MILLISECONDS);
    }

    private void endPace() {
        if (paced) {
            paced = false;
            owner.paced(-1);
        }
    }

    private void readOn() {
        if (stopped && !isFull() && context.channel().isActive()) {
            stopped = false;
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        if (step == Step.REFUSED && discardsWrites) {
            ReferenceCountUtil.release(msg);
            if (!promise.isVoid()) {
                promise.tryFailure(new ClosedChannelException());
            }
        } else {
            ctx.write(msg, promise);
        }
    }

    private void hold(ByteBuf bytes) {
        ByteBuf kept = bytes;
        if (bytes.isDirect() || bytes.readerIndex() > 0) {
            kept = Unpooled.buffer(bytes.readableBytes()).writeBytes(bytes);
            bytes.release();
        }
        if (memory.holdAhead(kept.capacity())) {
            held = kept;
            if (isFull()) {
                stopReading();
            }
            return;
        }
        kept.release();
        if (step == Step.HEAD) {
            refuseForMemory();
        } else {
            close("memory");
        }
    }

    private void dropHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
        memory.holdAhead(0);
    }

    private void refuseHead() {
        boolean certain = owner.limits().tooLarge() == ServerLimits.HeadStatus.TOO_LARGE;
        String status = certain ? "431 Request Header Fields Too Large" : "503 Service Unavailable";
        refuse("head_too_large", status, certain ? "" : RETRY_SOON);
    }

    private void refuseForMemory() {
        refuse("memory", "503 Service Unavailable", RETRY_SOON);
    }

    /** Answers a request that the application has not seen whole, and disconnects its client. */
    private void refuse(String why, String status, String headers) {
        owner.acted(why, this);
        step = Step.REFUSED;
        dropHeld();
        if (responseBegun) {
            context.close();
            return;
        }
        discardsWrites = true;
        String body = "not run: " + why + "\n";
        String response = "HTTP/1.1 " + status + "\r\n" + headers + "Connection: close\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        context.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
        closeLater();
    }

    private void closeLater() {
        context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Disconnects the client, with what is not written. */
    private void close(String why) {
        owner.acted(why, this);
        step = Step.REFUSED;
        context.close();
    }

    /** Disconnects the client; if a part of its request has been read, once it has been told. */
    void giveUp(String why) {
        if (!(use.phase() instanceof ConnectionPhase.BodyArriving)) {
            close(why);
            return;
        }
        owner.acted(why, this);
        owner.events().abandon(connection, why);
        step = Step.REFUSED;
        context.executor().execute(() -> context.close());
    }

    /** Samples the progress, and closes the connection if its phase has lasted too long. */
    void sweep(ServerLimits limits, long nowMs) {
        if (step == Step.REFUSED) {
            return;
        }
        sample(nowMs);
        PhaseTimeouts.overdue(use, limits, owner.capacity(), nowMs).ifPresent(this::giveUp);
    }

    private void sample(long nowMs) {
        switch (use.phase()) {
            case ConnectionPhase.BodyArriving b ->
                use.sample(context.channel().config().isAutoRead(), nowMs);
            case ConnectionPhase.UnderWay u -> {
                ChannelOutboundBuffer out = context.channel().unsafe().outboundBuffer();
                long pending = out == null ? 0 : out.totalPendingWriteBytes();
                boolean moved = pending != pendingBytes;
                pendingBytes = pending;
                if (moved) {
                    use.progressed(Math.max(1, pending));
                }
                use.sample(pending > 0 && !moved, nowMs);
            }
            case ConnectionPhase.Idle i -> use.sample(false, nowMs);
            case ConnectionPhase.HeadArriving h -> use.sample(false, nowMs);
            case ConnectionPhase.Discarding d -> use.sample(false, nowMs);
        }
    }
}
