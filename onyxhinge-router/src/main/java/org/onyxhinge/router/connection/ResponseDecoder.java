package org.onyxhinge.router.connection;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectDecoder;

/**
 * Tells whether the decoder of a connection holds the beginning of a response. Netty has no interface for that, so this
 * reads the decoder of the version that the project is built with.
 */
final class ResponseDecoder {

    /** The decoder's state between two responses. */
    private static final String BETWEEN_RESPONSES = "SKIP_CONTROL_CHARS";

    private static final MethodHandle DECODER;
    private static final MethodHandle STATE;
    private static final MethodHandle UNDECODED_BYTES;

    static {
        try {
            MethodHandles.Lookup own = MethodHandles.lookup();
            DECODER = MethodHandles.privateLookupIn(CombinedChannelDuplexHandler.class, own)
                    .unreflect(CombinedChannelDuplexHandler.class.getDeclaredMethod("inboundHandler"));
            STATE = MethodHandles.privateLookupIn(HttpObjectDecoder.class, own)
                    .unreflectGetter(HttpObjectDecoder.class.getDeclaredField("currentState"));
            UNDECODED_BYTES = MethodHandles.privateLookupIn(ByteToMessageDecoder.class, own)
                    .unreflect(ByteToMessageDecoder.class.getDeclaredMethod("actualReadableBytes"));
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private ResponseDecoder() {}

    /** Whether part of a response has been received behind the last whole one. */
    static boolean holdsPart(ChannelPipeline pipeline) {
        try {
            Object decoder = DECODER.invoke(pipeline.get(HttpClientCodec.class));
            Object state = STATE.invoke(decoder);
            return !BETWEEN_RESPONSES.equals(String.valueOf(state)) || (int) UNDECODED_BYTES.invoke(decoder) > 0;
        } catch (Throwable e) {
            throw new IllegalStateException("cannot read the state of the response decoder", e);
        }
    }
}
