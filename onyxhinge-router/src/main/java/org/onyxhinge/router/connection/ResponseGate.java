package org.onyxhinge.router.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.impl.headers.HeadersAdaptor;
import org.jboss.logging.Logger;
import org.onyxhinge.core.connection.ConnectionEvent;
import org.onyxhinge.core.connection.ConnectionState;
import org.onyxhinge.core.connection.ResponseIdentity;
import org.onyxhinge.wire.http.StrictResponses;

/**
 * Passes on only the responses that belong to the call of a connection, as {@link ConnectionState} decides. It sits
 * between the decoder of the connection and the HTTP client, which would take any response for that of its request.
 */
final class ResponseGate extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = Logger.getLogger(ResponseGate.class);

    /** The client takes other interim responses for final ones, so they are dropped. */
    private static final Set<HttpResponseStatus> PASSED_INTERIM =
            Set.of(HttpResponseStatus.CONTINUE, HttpResponseStatus.EARLY_HINTS);

    /** A target sends a few at most. */
    private static final int MAX_DROPPED_INTERIM = 16;

    /** Number of skipped responses whose ids are kept for the log line of a call. */
    private static final int MAX_NAMED = 3;

    private final SurplusListener listener;
    private final StrictResponses strict;
    private ConnectionState state = ConnectionState.open();
    private ResponseReader reader = headers -> new ResponseIdentity.Absent();
    private boolean skippingAllowed = true;
    private final List<String> skippedIds = new ArrayList<>();
    private int skippedResponses;
    private int droppedInterim;
    /** Whether the response that arrives is an interim one that the client knows. */
    private boolean passingInterim;

    private final StatusLineSearch statusLineInBody = new StatusLineSearch();
    /** The end of the call's own response until it is known what was received with it; null if there is none. */
    private LastHttpContent heldEnd;

    /**
     * Creates a gate for a new connection.
     *
     * @param strict keeps from the decoder of the connection what is no response
     * @param listener is told of what is not passed on
     */
    ResponseGate(StrictResponses strict, SurplusListener listener) {
        this.strict = strict;
        this.listener = listener;
    }

    /**
     * Expects the response of a call that is about to be sent.
     *
     * @param newReader reads which call a response names
     * @param bodiless whether the response has no body whatever its head says. Responses to other calls may not come
     *     before it then; otherwise they are skipped
     */
    void expect(ResponseReader newReader, boolean bodiless) {
        reader = newReader;
        skippingAllowed = !bodiless;
        strict.expectBodiless(bodiless);
        skippedIds.clear();
        skippedResponses = 0;
        droppedInterim = 0;
        state = state.on(new ConnectionEvent.CallSent());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpObject part)) {
            context.fireChannelRead(message);
            return;
        }
        boolean own;
        try {
            passEnd(context, isFilledUp(part));
            own = belongsToCall(part);
        } catch (RuntimeException e) {
            LOG.error("response cannot be read, its connection is closed", e);
            state = new ConnectionState.Unusable(ConnectionState.Reason.MALFORMED);
            own = false;
        }
        if (own && part instanceof LastHttpContent end && state instanceof ConnectionState.Idle) {
            heldEnd = end;
        } else if (own) {
            context.fireChannelRead(part);
        } else {
            ReferenceCountUtil.release(part);
        }
        closeIfUnusable(context);
    }

    /**
     * Whether a response has been cut in its body and filled up by the beginning of another one: a status line stands
     * in its body, and what comes behind its end is no response.
     */
    private boolean isFilledUp(HttpObject next) {
        return heldEnd != null && next.decoderResult().isFailure() && statusLineInBody.found();
    }

    /** Passes on the end of the call's own response, unless that has turned out not to be whole. */
    private void passEnd(ChannelHandlerContext context, boolean filledUp) {
        LastHttpContent end = heldEnd;
        heldEnd = null;
        if (end != null && filledUp) {
            end.release();
        } else if (end != null) {
            context.fireChannelRead(end);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof StrictResponses.Rejected rejected) {
            passEnd(context, statusLineInBody.found());
            on(new ConnectionEvent.Malformed(), rejected.why(), false);
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passEnd(context, false);
        context.fireChannelInactive();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean partFollows = state instanceof ConnectionState.Idle && ResponseDecoder.holdsPart(context.pipeline());
        passEnd(context, partFollows && statusLineInBody.found());
        if (partFollows) {
            on(new ConnectionEvent.Malformed(), "part of a response", false);
            closeIfUnusable(context);
        }
        context.fireChannelReadComplete();
    }

    private void closeIfUnusable(ChannelHandlerContext context) {
        if (state instanceof ConnectionState.Unusable) {
            context.close();
        }
    }

    private boolean belongsToCall(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            boolean due = !(state instanceof ConnectionState.Idle);
            on(new ConnectionEvent.Malformed(), "bytes that are no response", false);
            // The client fails the call for them.
            return due;
        }
        if (part instanceof HttpResponse head) {
            head(head);
        }
        boolean own = state instanceof ConnectionState.Receiving
                || passingInterim && state instanceof ConnectionState.Waiting;
        if (part instanceof HttpContent content) {
            content(content);
        }
        return own;
    }

    private void head(HttpResponse head) {
        passingInterim = PASSED_INTERIM.contains(head.status());
        statusLineInBody.reset();
        boolean idle = state instanceof ConnectionState.Idle;
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS) || JoinedHeads.isJoined(head)) {
            on(new ConnectionEvent.Malformed(), "status " + head.status().code() + " of no proper response", false);
        } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interim();
        } else if (idle && head.status().equals(HttpResponseStatus.REQUEST_TIMEOUT)) {
            // Servers announce in this way that they close a connection which has been idle for too long.
            state = new ConnectionState.Unusable(ConnectionState.Reason.EXTRA_RESPONSE);
        } else {
            finalHead(head);
        }
    }

    private void interim() {
        on(new ConnectionEvent.Interim(), "interim response", false);
        if (!passingInterim) {
            droppedInterim++;
            if (droppedInterim > MAX_DROPPED_INTERIM) {
                on(new ConnectionEvent.Malformed(), "interim responses without end", false);
            }
        }
    }

    private void finalHead(HttpResponse head) {
        ResponseIdentity identity = reader.read(new HeadersAdaptor(head.headers()));
        boolean identified = !(identity instanceof ResponseIdentity.Absent);
        String what = "status " + head.status().code() + ", id "
                + switch (identity) {
                    case ResponseIdentity.Own i -> "of the last call";
                    case ResponseIdentity.Absent i -> "absent";
                    case ResponseIdentity.Other i -> "'" + i.named() + "'";
                };
        on(new ConnectionEvent.Head(identity, skippingAllowed && isDelimited(head)), what, identified);
        if (state instanceof ConnectionState.Skipping) {
            skippedResponses++;
            if (skippedIds.size() < MAX_NAMED) {
                skippedIds.add(identity instanceof ResponseIdentity.Other other ? other.named() : "");
            }
            listener.received(what, identified);
        }
    }

    private static boolean isDelimited(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.isContentLengthSet(head)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private void content(HttpContent content) {
        boolean inResponse = state instanceof ConnectionState.Receiving || state instanceof ConnectionState.Skipping;
        if (!inResponse) {
            return;
        }
        if (content.content().isReadable()) {
            statusLineInBody.add(content.content());
            on(new ConnectionEvent.Body(content.content().readableBytes()), "response of another call", true);
        }
        if (content instanceof LastHttpContent) {
            on(new ConnectionEvent.End(), "", true);
        }
    }

    private void on(ConnectionEvent event, String what, boolean identified) {
        ConnectionState before = state;
        state = state.on(event);
        if (state instanceof ConnectionState.Unusable unusable && before != state) {
            listener.received(unusable.reason().name().toLowerCase(Locale.ROOT) + ": " + what, identified);
        }
    }

    /** Whether the call's own response may not come, since of what came before it some may have been it. */
    boolean mayStayUnanswered() {
        return state.mayStayUnanswered();
    }

    /** Whether no call has been sent on the connection. */
    boolean isUnused() {
        return state.equals(ConnectionState.open());
    }

    /** Whether another call may be sent on the connection. */
    boolean isReusable() {
        return state.isReusable();
    }

    /** Why the connection is closed; empty if it is not closed for what it has received. */
    Optional<ConnectionState.Reason> unusableBecause() {
        return state instanceof ConnectionState.Unusable unusable ? Optional.of(unusable.reason()) : Optional.empty();
    }

    /** Number of responses skipped since the present call was sent. */
    int skippedResponses() {
        return skippedResponses;
    }

    /** The ids that the first of them named, empty ones included. */
    List<String> skippedIds() {
        return List.copyOf(skippedIds);
    }
}
