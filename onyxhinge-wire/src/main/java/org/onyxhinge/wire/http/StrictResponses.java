package org.onyxhinge.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import org.jboss.logging.Logger;

/**
 * Sits before the decoder of an HTTP connection and lets it see nothing behind the first byte that no response can hold
 * ({@link ResponseGrammar}): the decoder would repair it, or take other bytes for the body. Such a connection is
 * closed. A response that ends with its connection is whole only if the other side has ended it: not if it is reset, or
 * if a request could not be written to its end.
 */
public final class StrictResponses extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = Logger.getLogger(StrictResponses.class);

    /** Bytes around the rejected one that are logged. */
    private static final int LOGGED_BYTES = 48;

    private final ResponseGrammar grammar = ResponseGrammar.create();
    private boolean rejected;
    private boolean broken;
    private boolean endedInOrder;

    /**
     * Told to the handlers behind the decoder when the connection has sent what is no response.
     *
     * @param why reason for the log
     */
    public record Rejected(String why) {}

    private StrictResponses() {}

    /** Creates a handler for a new connection. */
    public static StrictResponses create() {
        return new StrictResponses();
    }

    /** Adds a handler to a connection from which nothing has been read. */
    public static StrictResponses addTo(ChannelHandlerContext client) {
        StrictResponses handler = create();
        client.pipeline().addFirst(handler);
        // A failed write does not close the connection, so that what has been received before is read.
        client.channel().config().setAutoClose(false).setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        return handler;
    }

    /** Adds a handler to a connection of a pooled client, from which nothing has been read. */
    public static StrictResponses addTo(HttpConnection connection) {
        return addTo(((HttpClientConnectionInternal) connection).channelHandlerContext());
    }

    /** Sets whether the next final response has no body whatever its head says, as one to a HEAD request. */
    public void expectBodiless(boolean nextIsBodiless) {
        grammar.expectBodiless(nextIsBodiless);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        int valid = rejected ? 0 : validBytes(bytes);
        if (valid == bytes.readableBytes()) {
            context.fireChannelRead(bytes);
            return;
        }
        String near = rejected ? "" : near(bytes, valid);
        if (valid > 0) {
            context.fireChannelRead(bytes.readRetainedSlice(valid));
        }
        bytes.release();
        if (!rejected) {
            reject(context, grammar.violation(), near);
        }
    }

    /** Follows how the connection ends. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        switch (event) {
            case ChannelOutputShutdownEvent e -> broken = true;
            case ChannelInputShutdownEvent e -> {
                endedInOrder = !broken;
                context.close();
            }
            case ChannelInputShutdownReadComplete e -> {
                // The connection is being closed.
            }
            default -> context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        boolean cut = grammar.isInBodyUntilClose() && !endedInOrder;
        if (cut && context.pipeline().get(HttpClientCodec.class) != null) {
            // The decoder would take the end of the connection for that of the response.
            context.pipeline().remove(HttpClientCodec.class);
        }
        context.fireChannelInactive();
    }

    private void reject(ChannelHandlerContext context, String why, String near) {
        rejected = true;
        LOG.warnf(
                "no response from=%s why=\"%s\" near=\"%s\"", context.channel().remoteAddress(), why, near);
        context.fireUserEventTriggered(new Rejected(why));
        context.close();
    }

    /** Number of bytes before the first one that is rejected. */
    private int validBytes(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int end = bytes.writerIndex();
        int i = start;
        while (i < end) {
            long body = Math.min(grammar.bodyBytes(), end - i);
            if (body > 0) {
                grammar.skipBody(body);
                i += (int) body;
            } else if (grammar.accept(bytes.getByte(i))) {
                i++;
            } else {
                return i - start;
            }
        }
        return end - start;
    }

    /** The bytes around a rejected one; those that are not printable are escaped. */
    private static String near(ByteBuf bytes, int rejectedAt) {
        int from = Math.max(0, rejectedAt - LOGGED_BYTES);
        int to = Math.min(bytes.readableBytes(), rejectedAt + LOGGED_BYTES / 2);
        StringBuilder out = new StringBuilder();
        for (int i = from; i < to; i++) {
            int c = bytes.getUnsignedByte(bytes.readerIndex() + i);
            boolean printable = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
            out.append(printable ? Character.toString(c) : String.format("\\x%02x", c));
        }
        return out.toString();
    }
}
