package org.onyxhinge.runtime;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/** A listening socket that counts the bytes of the connections it accepts. */
final class ListeningSocket extends NioServerSocketChannel {

    private final TrafficCount count;

    ListeningSocket(TrafficCount count) {
        this.count = count;
    }

    /** Accepts the connections that the operating system has established; called on the event loop. */
    void acceptPending() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                pipeline().fireChannelRead(accepted.removeFirst());
            }
        } catch (IOException e) {
            pipeline().fireExceptionCaught(e);
        }
        pipeline().fireChannelReadComplete();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws IOException {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        accepted.add(new CountingSocketChannel(this, socket, count));
        return 1;
    }
}
