package org.onyxhinge.runtime;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.nio.NioIoHandle;
import org.jboss.logging.Logger;

/**
 * A server channel whose listening socket can be closed and opened again while the channel, and the connections that it
 * has accepted, stay open.
 */
final class SuspendableServerChannel extends AbstractServerChannel {

    private static final Logger LOG = Logger.getLogger(SuspendableServerChannel.class);

    /** Pause after a connection could not be accepted. */
    private static final long ACCEPT_PAUSE_MS = 200;

    /** Pause before a socket that could not be opened again is tried once more. */
    private static final long RETRY_MS = 10;

    private final TrafficCount count;
    private final Options options = new Options();
    private volatile SocketAddress boundTo;
    private volatile boolean open = true;
    /** Whether the socket should be open; used on the event loop only, like the socket. */
    private boolean listening;

    private ListeningSocket socket;

    /** Keeps the options that are set for the listening sockets to come. */
    private final class Options extends DefaultChannelConfig {

        private final Map<ChannelOption<Object>, Object> values = new LinkedHashMap<>();

        Options() {
            super(SuspendableServerChannel.this);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            values.put((ChannelOption<Object>) option, value);
            super.setOption(option, value);
            return true;
        }
    }

    /** Passes accepted connections to the handlers of the suspendable channel. */
    private final class Accepted extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object connection) {
            pipeline().fireChannelRead(connection);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            pipeline().fireChannelReadComplete();
        }

        /** Accepts nothing for a while: what cannot be accepted, for lack of descriptors, stays pending. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!ctx.channel().config().isAutoRead()) {
                return;
            }
            LOG.warnf("connections not accepted address=%s pausedMs=%d error=%s", boundTo, ACCEPT_PAUSE_MS, cause);
            ctx.channel().config().setAutoRead(false);
            eventLoop()
                    .schedule(() -> ctx.channel().config().setAutoRead(true), ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    SuspendableServerChannel(TrafficCount count) {
        this.count = count;
    }

    /**
     * Closes the listening socket, soon and on the event loop.
     *
     * @param acceptPending whether to accept the connections that are established by then
     */
    void suspend(boolean acceptPending) {
        eventLoop().execute(() -> {
            listening = false;
            if (acceptPending && socket != null) {
                socket.acceptPending();
            }
            closeSocket();
        });
    }

    /** Opens the listening socket, soon and on the event loop. */
    void resume() {
        eventLoop().execute(() -> {
            listening = true;
            reopenSocket();
        });
    }

    private void reopenSocket() {
        if (!listening || !open || socket != null || boundTo == null) {
            return;
        }
        try {
            openSocket(boundTo);
        } catch (IOException e) {
            // The event loop may not have released the socket that was closed last.
            LOG.debugf("listening socket not opened address=%s error=%s", boundTo, e);
            eventLoop().schedule(this::reopenSocket, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void openSocket(SocketAddress address) throws IOException {
        ListeningSocket opened = new ListeningSocket(count);
        options.values.forEach(opened.config()::setOption);
        opened.pipeline().addLast(new Accepted());
        check(eventLoop().register(opened));
        check(opened.bind(address));
        socket = opened;
        boundTo = opened.localAddress();
    }

    /** On its event loop, a channel completes these operations before they return. */
    private static void check(ChannelFuture done) throws IOException {
        if (!done.isSuccess()) {
            done.channel().close();
            throw new IOException(
                    done.cause() == null ? "not completed" : done.cause().getMessage(), done.cause());
        }
    }

    private void closeSocket() {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    @Override
    public ChannelConfig config() {
        return options;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && boundTo != null;
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof IoEventLoop io && io.isCompatible(NioIoHandle.class);
    }

    @Override
    protected SocketAddress localAddress0() {
        return boundTo;
    }

    @Override
    protected void doBind(SocketAddress localAddress) throws IOException {
        listening = true;
        openSocket(localAddress);
    }

    @Override
    protected void doClose() {
        open = false;
        closeSocket();
    }

    /** Sockets accept connections whenever they are open. */
    @Override
    protected void doBeginRead() {}
}
