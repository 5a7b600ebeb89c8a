package org.onyxhinge.runtime.server;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Sits behind the HTTP codec and tells a {@link RequestGate} what the codec has read and what is written, so that the
 * gate reads no header field itself.
 */
final class RequestObserver extends ChannelDuplexHandler {

    private final RequestGate gate;
    private boolean interim;

    RequestObserver(RequestGate gate) {
        this.gate = gate;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
            gate.malformed();
        } else if (msg instanceof HttpRequest request) {
            gate.headRead(framing(request));
        }
        if (msg instanceof LastHttpContent) {
            gate.requestRead();
        }
        ctx.fireChannelRead(msg);
    }

    private static BodyFraming framing(HttpRequest request) {
        if (HttpUtil.isTransferEncodingChunked(request)) {
            return new BodyFraming.Chunked();
        }
        try {
            return new BodyFraming.Length(HttpUtil.getContentLength(request, 0L));
        } catch (NumberFormatException e) {
            return new BodyFraming.Unknown();
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        if (msg instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!interim) {
                gate.responseBegun();
            }
        }
        if (msg instanceof LastHttpContent && !interim) {
            ChannelPromise written = promise.unvoid();
            written.addListener(f -> gate.responseTaken(f.isSuccess()));
            ctx.write(msg, written);
        } else {
            ctx.write(msg, promise);
        }
    }
}
