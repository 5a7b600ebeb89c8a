package org.onyxhinge.runtime;

import java.nio.channels.SocketChannel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.SystemPropertyUtil;

/** A TCP connection whose bytes are counted as they are read from the socket and written to it. */
final class CountingSocketChannel extends NioSocketChannel {

    /** What Netty adds to the size of each message in an outbound buffer. */
    private static final int ENTRY_OVERHEAD_BYTES =
            SystemPropertyUtil.getInt("io.netty.transport.outboundBufferEntrySizeOverhead", 96);

    private final TrafficCount count;

    /** Creates a connection of a client. */
    CountingSocketChannel(TrafficCount count) {
        this.count = count;
    }

    /** Creates a connection that a server has accepted. */
    CountingSocketChannel(Channel parent, SocketChannel socket, TrafficCount count) {
        super(parent, socket);
        this.count = count;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int bytes = super.doReadBytes(into);
        if (bytes > 0) {
            count.received(bytes);
        }
        return bytes;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        long beforeBytes = pendingBytes(out);
        super.doWrite(out);
        count.sent(beforeBytes - pendingBytes(out));
    }

    /** Bytes of the messages that have been flushed, plus a part that no write changes. */
    private static long pendingBytes(ChannelOutboundBuffer out) {
        return out.totalPendingWriteBytes() - (long) out.size() * ENTRY_OVERHEAD_BYTES;
    }
}
