package org.onyxhinge.runtime;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.spi.transport.Transport;

/** The NIO transport of Vert.x, with connections whose bytes are counted and listeners that can be suspended. */
final class CountingTransport implements Transport, io.vertx.core.transport.Transport {

    private final Transport nio = io.vertx.core.transport.Transport.NIO.implementation();
    private final List<SuspendableServerChannel> listeners = new CopyOnWriteArrayList<>();

    private final TrafficCount count;

    CountingTransport(TrafficCount count) {
        this.count = count;
    }

    /** Applies an action to what listens on a port. */
    void forListener(int port, Consumer<SuspendableServerChannel> action) {
        for (SuspendableServerChannel listener : listeners) {
            if (listener.localAddress() instanceof InetSocketAddress a && a.getPort() == port) {
                action.accept(listener);
            }
        }
    }

    @Override
    public String name() {
        return "counting-nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public Transport implementation() {
        return this;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        if (domainSocket) {
            return nio.serverChannelFactory(true);
        }
        return () -> {
            SuspendableServerChannel channel = new SuspendableServerChannel(count);
            listeners.add(channel);
            channel.closeFuture().addListener(f -> listeners.remove(channel));
            return channel;
        };
    }

    @Override
    public boolean supportFileRegion() {
        return nio.supportFileRegion();
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return nio.ioHandlerFactory();
    }

    @Override
    public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
        return nio.eventLoopGroup(type, threads, factory, ioRatio);
    }

    @Override
    public DatagramChannel datagramChannel() {
        return nio.datagramChannel();
    }

    @Override
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
        return nio.datagramChannel(family);
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return domainSocket ? nio.channelFactory(true) : () -> new CountingSocketChannel(count);
    }

    @Override
    public void configure(DatagramChannel channel, DatagramSocketOptions options) {
        nio.configure(channel, options);
    }

    @Override
    public void configure(ClientOptionsBase options, int connectTimeoutMs, boolean domainSocket, Bootstrap bootstrap) {
        nio.configure(options, connectTimeoutMs, domainSocket, bootstrap);
    }

    @Override
    public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
        nio.configure(options, domainSocket, bootstrap);
    }
}
