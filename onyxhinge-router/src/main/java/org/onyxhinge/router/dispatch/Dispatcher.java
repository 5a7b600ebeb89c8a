package org.onyxhinge.router.dispatch;

import java.io.IOException;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.jboss.logging.Logger;
import org.onyxhinge.core.connection.ResponseIdentity;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.router.RouterMetrics;
import org.onyxhinge.router.connection.GatedHttpClient;
import org.onyxhinge.router.connection.ResponseReader;
import org.onyxhinge.runtime.ReadBarrier;
import org.onyxhinge.wire.BoundedJson;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.http.BoundedBody;
import org.onyxhinge.wire.http.InterimResponses;

/**
 * Sends requests to their targets and relays the responses to the callers, on one traffic context. A
 * request is sent at most once. If the target is unreachable, the request returns to the scheduler as not
 * run; if the target fails during the response, the caller is told that the response is partial. Each
 * engine stream is read on its own connection and forwarded only to the caller of that request, so
 * responses cannot reach another caller.
 */
public final class Dispatcher {

    private static final Logger LOG = Logger.getLogger(Dispatcher.class);
    private static final String REQUEST_ID = "x-request-id";
    private static final String SSE_DELIMITER = "\n\n";
    private static final String SSE_DATA_PREFIX = "data: ";
    private static final String SSE_DONE = "[DONE]";
    private static final long NS_PER_US = 1_000;
    private static final long TARGET_FAILED_RETRY_AFTER_MS = 1_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final GatedHttpClient client;
    private final ControlPlane control;
    private final RouterMetrics metrics;
    private final ReadBarrier reads;

    private Dispatcher(GatedHttpClient client, ControlPlane control, RouterMetrics metrics, ReadBarrier reads) {
        this.client = client;
        this.control = control;
        this.metrics = metrics;
        this.reads = reads;
    }

    /**
     * Creates a dispatcher that sends with {@code client}.
     *
     * @param context the traffic context, to which the client must belong
     */
    public static Dispatcher create(
            GatedHttpClient client, ControlPlane control, RouterMetrics metrics, Context context) {
        return new Dispatcher(client, control, metrics, ReadBarrier.of(context));
    }

    /**
     * Submits a request to the control thread after the connections have been read once more, unless its caller has
     * left by then: it would occupy a target or a place in the queue that others are refused for. Must be called on
     * the request's traffic context.
     */
    public void submit(InFlightRequest f) {
        reads.afterRead(() -> {
            if (!f.lifecycle.done()) {
                control.submit(f);
            }
        });
    }

    /** Sends a request to an engine. Must be called on the request's traffic context. */
    public void dispatch(InFlightRequest f, EngineInfo engine) {
        if (!f.lifecycle.tryFire("dispatch")) {
            control.ended(f.spec.requestId(), false);
            return;
        }
        f.dispatchedNs = System.nanoTime();
        connect(f, engine, false);
    }

    /**
     * Connects and sends a request.
     *
     * @param again whether another connection could not be used
     */
    private void connect(InFlightRequest f, EngineInfo engine, boolean again) {
        client.request(options(f, engine))
                .onFailure(e -> onConnectFailure(f, engine, e))
                .onSuccess(req -> reads.afterRead(() -> send(f, engine, req, again)));
    }

    /** A target's refusal is not passed on as one, so it needs no proof of its own. */
    private static ResponseReader reader(InFlightRequest f) {
        return headers -> ResponseIdentity.of(headers.getAll(REQUEST_ID), f.spec.requestId());
    }

    private static RequestOptions options(InFlightRequest f, EngineInfo engine) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(engine.host())
                .setPort(engine.port())
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setURI(f.request.plain() ? "/v1/calls/" + f.request.service() : "/v1/chat/completions")
                .putHeader("content-type", "application/json")
                .putHeader(REQUEST_ID, f.spec.requestId());
        if (!f.spec.idempotencyKey().isEmpty()) {
            options.putHeader("idempotency-key", f.spec.idempotencyKey());
        }
        return options;
    }

    /**
     * Sends the request on an established connection, unless its caller has left or it has ended otherwise. If the
     * response to an earlier request could still arrive on the connection, another one is used.
     */
    private void send(InFlightRequest f, EngineInfo engine, HttpClientRequest req, boolean again) {
        if (!f.lifecycle.state().equals("dispatching")) {
            req.reset();
            return;
        }
        if (!client.expect(req, reader(f))) {
            if (again) {
                onConnectFailure(f, engine, new IOException("connection closed before the request was sent"));
            } else {
                connect(f, engine, true);
            }
            return;
        }
        f.lifecycle.fire("send");
        f.upstream = req;
        f.sent = true;
        long nowNs = System.nanoTime();
        metrics.dispatchDelay((nowNs - f.arrivedNs) / NS_PER_US);
        metrics.addedLatency((f.decidedNs - f.arrivedNs + nowNs - f.dispatchedNs) / NS_PER_US);
        Buffer body = f.request.plain()
                ? f.request.body().toBuffer()
                : f.request.body().copy().put("stream", true).toBuffer();
        InterimResponses.limit(req, () -> onTargetFailure(f, "interim responses without end"));
        req.send(body)
                .onSuccess(resp -> onResponse(f, resp))
                .onFailure(e -> onTargetFailure(f, "send failed: " + e.getMessage()));
    }

    /** Refuses a request that was not dispatched. */
    public void refuse(InFlightRequest f, Refusal r) {
        if (f.lifecycle.tryFire("refuse")) {
            metrics.refused(r.reason());
            CallerResponses.refuse(f.httpRequest.response(), f.spec.requestId(), r);
        }
    }

    /**
     * Cancels a request that the scheduler had dispatched and sends its caller the refusal. If the request
     * was not sent yet, the refusal says that it was not run.
     */
    public void cancel(InFlightRequest f, Refusal r) {
        if (f.sent) {
            cancelSent(f, r);
        } else if (f.lifecycle.tryFire("refuse")) {
            metrics.refused(RefusalReason.DEADLINE_UNREACHABLE);
            CallerResponses.refuse(
                    f.httpRequest.response(),
                    f.spec.requestId(),
                    Refusal.of(RefusalReason.DEADLINE_UNREACHABLE, r.detail() + "; not run", r.retryAfterMs()));
        }
        control.ended(f.spec.requestId(), f.sent);
    }

    private void cancelSent(InFlightRequest f, Refusal r) {
        if (f.lifecycle.tryFire(r.reason() == RefusalReason.PREEMPTED ? "preempt" : "fail")) {
            metrics.refused(r.reason());
            cancelUpstream(f);
            endPartialResponse(f, r);
        }
    }

    /** Handles a caller that disconnected: cancels the request on the engine if it was sent. */
    public void callerDisconnected(InFlightRequest f) {
        if (f.lifecycle.tryFire("abandon")) {
            cancelUpstream(f);
            control.ended(f.spec.requestId(), f.sent);
        }
    }

    private void onConnectFailure(InFlightRequest f, EngineInfo engine, Throwable e) {
        LOG.infof(
                "target unreachable request=%s engine=%s error=%s",
                f.spec.requestId(), engine.engineId(), e.getMessage());
        if (f.lifecycle.tryFire("unsent")) {
            control.unsent(f.spec.requestId());
        }
    }

    private void onResponse(InFlightRequest f, HttpClientResponse resp) {
        if (resp.statusCode() != 200) {
            BoundedBody.read(resp, MAX_RESPONSE_BYTES)
                    .onComplete(b -> onTargetFailure(f, "target answered " + resp.statusCode()));
            return;
        }
        if (f.request.plain()) {
            BoundedBody.read(resp, MAX_RESPONSE_BYTES)
                    .onSuccess(b -> completePlainCall(f, b))
                    .onFailure(e -> onTargetFailure(f, e.getMessage()));
            return;
        }
        RecordParser events = RecordParser.newDelimited(SSE_DELIMITER, event -> onEvent(f, event.toString()));
        events.maxRecordSize(MAX_EVENT_BYTES);
        events.exceptionHandler(e -> onTargetFailure(f, "target sent an event that is too long"));
        resp.handler(events);
        resp.exceptionHandler(e -> onTargetFailure(f, "stream broke: " + e.getMessage()));
        resp.endHandler(v -> onTargetFailure(f, "stream ended before [DONE]"));
    }

    private void onEvent(InFlightRequest f, String event) {
        if (!event.startsWith(SSE_DATA_PREFIX) || f.lifecycle.done()) {
            return;
        }
        String data = event.substring(SSE_DATA_PREFIX.length()).trim();
        if (data.equals(SSE_DONE)) {
            complete(f);
            return;
        }
        try {
            JsonObject chunk = BoundedJson.object(data);
            JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
            JsonObject choice = choices.isEmpty() ? new JsonObject() : choices.getJsonObject(0);
            String content = choice.getJsonObject("delta", new JsonObject()).getString("content");
            if (choice.getString("finish_reason") != null) {
                f.finishReason = choice.getString("finish_reason");
            }
            if (content != null && !content.isEmpty()) {
                onToken(f, content);
            }
        } catch (DecodeException | ClassCastException e) {
            onTargetFailure(f, "target sent a malformed event");
        }
    }

    private void onToken(InFlightRequest f, String content) {
        long now = System.nanoTime();
        if (f.tokens == 0) {
            f.lifecycle.fire("first_token");
            f.firstTokenNs = now;
            metrics.firstTokenLatency(f.spec.tier().name(), (now - f.arrivedNs) / NS_PER_US);
            control.firstToken(f.spec.requestId());
        } else {
            metrics.interTokenLatency(f.spec.tier().name(), (now - f.lastTokenNs) / NS_PER_US);
        }
        f.lastTokenNs = now;
        f.tokens++;
        if (f.request.stream()) {
            startEventStream(f);
            write(
                    f,
                    CallerResponses.chunk(
                            f.spec.requestId(), f.request.service(), new JsonObject().put("content", content), null));
        } else {
            f.text.append(content);
        }
    }

    private void complete(InFlightRequest f) {
        if (f.lifecycle.state().equals("dispatched")) {
            f.lifecycle.fire("first_token");
            f.firstTokenNs = System.nanoTime();
        }
        f.lifecycle.fire("finish");
        if (f.request.stream()) {
            startEventStream(f);
            write(f, CallerResponses.chunk(f.spec.requestId(), f.request.service(), new JsonObject(), f.finishReason));
            f.httpRequest.response().end(SSE_DATA_PREFIX + SSE_DONE + SSE_DELIMITER);
        } else {
            f.httpRequest
                    .response()
                    .putHeader("content-type", "application/json")
                    .end(CallerResponses.completion(
                                    f.spec.requestId(),
                                    f.request.service(),
                                    f.text.toString(),
                                    f.finishReason,
                                    f.tokens)
                            .encode());
        }
        recordDelivery(f);
    }

    private void completePlainCall(InFlightRequest f, Buffer body) {
        f.lifecycle.fire("first_token");
        f.firstTokenNs = System.nanoTime();
        f.lifecycle.fire("finish");
        f.httpRequest
                .response()
                .putHeader("content-type", "application/json")
                .putHeader(REQUEST_ID, f.spec.requestId())
                .end(body);
        recordDelivery(f);
    }

    private void recordDelivery(InFlightRequest f) {
        long nowMs = MonotonicClock.nowMs();
        long firstMs = (f.firstTokenNs - f.arrivedNs) / 1_000_000;
        boolean inTime = firstMs <= f.spec.tier().firstTokenBudgetMs() && nowMs <= f.spec.dueAtMs();
        metrics.delivered(f.spec.tier().name(), inTime);
        control.ended(f.spec.requestId(), true);
    }

    private void onTargetFailure(InFlightRequest f, String why) {
        if (f.lifecycle.done()) {
            return;
        }
        LOG.infof("dispatch failed request=%s error=%s", f.spec.requestId(), why);
        f.lifecycle.fire("fail");
        Refusal r = Refusal.of(RefusalReason.TARGET_FAILED, why, TARGET_FAILED_RETRY_AFTER_MS);
        metrics.refused(r.reason());
        cancelUpstream(f);
        endPartialResponse(f, r);
        control.ended(f.spec.requestId(), true);
    }

    private void endPartialResponse(InFlightRequest f, Refusal r) {
        if (f.headersSent) {
            write(f, CallerResponses.error(f.spec.requestId(), r).put("partial", true));
            f.httpRequest.response().end(SSE_DATA_PREFIX + SSE_DONE + SSE_DELIMITER);
        } else {
            CallerResponses.refuse(f.httpRequest.response(), f.spec.requestId(), r);
        }
    }

    private void startEventStream(InFlightRequest f) {
        if (!f.headersSent) {
            f.headersSent = true;
            f.httpRequest
                    .response()
                    .setChunked(true)
                    .putHeader("content-type", "text/event-stream")
                    .putHeader(REQUEST_ID, f.spec.requestId());
        }
    }

    private static void write(InFlightRequest f, JsonObject chunk) {
        if (!f.httpRequest.response().closed()) {
            f.httpRequest.response().write(SSE_DATA_PREFIX + chunk.encode() + SSE_DELIMITER);
        }
    }

    /** Cancels a sent request on its engine and counts its prompt tokens as wasted prefill. */
    private void cancelUpstream(InFlightRequest f) {
        if (f.sent) {
            metrics.wastedPrefill(f.spec.promptTokens());
            f.upstream.reset();
        }
    }
}
