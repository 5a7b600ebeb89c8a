package org.onyxhinge.router.dispatch;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.jboss.logging.Logger;
import org.onyxhinge.core.schedule.EngineInfo;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.router.RouterMetrics;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Sends flights to their targets and streams answers back, on one traffic context. A flight is sent
 * once; if the target cannot be reached the flight goes back to the scheduler, not run; if the target fails
 * mid-answer the caller is told the answer is partial. Answers reach only the caller whose request id
 * they carry: each engine stream is read on its own connection and forwarded to its own flight.
 */
public final class Dispatcher {

    private static final Logger LOG = Logger.getLogger(Dispatcher.class);
    private static final String SSE_DELIMITER = "\n\n";
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";
    private static final long NS_PER_US = 1_000;
    private static final long FAILED_RETRY_MS = 1_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final HttpClient client;
    private final ControlPlane control;
    private final RouterMetrics metrics;

    private Dispatcher(HttpClient client, ControlPlane control, RouterMetrics metrics) {
        this.client = client;
        this.control = control;
        this.metrics = metrics;
    }

    /** Creates a dispatcher using {@code client}, which must belong to the same traffic context. */
    public static Dispatcher create(HttpClient client, ControlPlane control, RouterMetrics metrics) {
        return new Dispatcher(client, control, metrics);
    }

    /** Sends the flight to the engine. Call on the flight's traffic context. */
    public void dispatch(Flight f, EngineInfo engine) {
        if (!f.machine.tryFire("dispatch")) {
            control.ended(f.spec.requestId(), false);
            return;
        }
        f.dispatchedNs = System.nanoTime();
        client.request(options(f, engine))
                .onFailure(e -> unreachable(f, engine, e))
                .onSuccess(req -> send(f, req));
    }

    private static RequestOptions options(Flight f, EngineInfo engine) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(engine.host())
                .setPort(engine.port())
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setURI(f.request.plain() ? "/v1/calls/" + f.request.service() : "/v1/chat/completions")
                .putHeader("content-type", "application/json")
                .putHeader("x-request-id", f.spec.requestId());
        if (!f.spec.idempotencyKey().isEmpty()) {
            options.putHeader("idempotency-key", f.spec.idempotencyKey());
        }
        return options;
    }

    /** The connection is up: sends the request, unless its flight ended while it waited. */
    private void send(Flight f, HttpClientRequest req) {
        if (!f.machine.tryFire("send")) {
            req.reset();
            return;
        }
        f.upstream = req;
        f.sent = true;
        long nowNs = System.nanoTime();
        metrics.dispatchDelay((nowNs - f.arrivedNs) / NS_PER_US);
        metrics.addedLatency((f.decidedNs - f.arrivedNs + nowNs - f.dispatchedNs) / NS_PER_US);
        Buffer body = f.request.plain()
                ? f.request.body().toBuffer()
                : f.request.body().copy().put("stream", true).toBuffer();
        req.send(body).onSuccess(resp -> answer(f, resp)).onFailure(e -> failed(f, "send failed: " + e.getMessage()));
    }

    /** Answers the caller with a refusal; the request was not dispatched. */
    public void refuse(Flight f, Refusal r) {
        if (f.machine.tryFire("refuse")) {
            metrics.refused(r.reason());
            Answers.refuse(f.caller.response(), f.spec.requestId(), r);
        }
    }

    /**
     * Stops a request the scheduler had dispatched and tells its caller why; of a request that was not
     * sent yet, that it was not run.
     */
    public void cancel(Flight f, Refusal r) {
        if (f.sent) {
            stop(f, r);
        } else if (f.machine.tryFire("refuse")) {
            metrics.refused(RefusalReason.DEADLINE_UNREACHABLE);
            Answers.refuse(
                    f.caller.response(),
                    f.spec.requestId(),
                    Refusal.of(RefusalReason.DEADLINE_UNREACHABLE, r.detail() + "; not run", r.retryAfterMs()));
        }
        control.ended(f.spec.requestId(), f.sent);
    }

    private void stop(Flight f, Refusal r) {
        if (f.machine.tryFire(r.reason() == RefusalReason.PREEMPTED ? "preempt" : "fail")) {
            metrics.refused(r.reason());
            stopUpstream(f);
            endPartial(f, r);
        }
    }

    /** The caller went away: cancel on the engine if any of it was sent. */
    public void abandoned(Flight f) {
        if (f.machine.tryFire("abandon")) {
            stopUpstream(f);
            control.ended(f.spec.requestId(), f.sent);
        }
    }

    private void unreachable(Flight f, EngineInfo engine, Throwable e) {
        LOG.infof(
                "dispatch unreachable request=%s engine=%s error=%s",
                f.spec.requestId(), engine.engineId(), e.getMessage());
        if (f.machine.tryFire("unsent")) {
            control.unsent(f.spec.requestId());
        }
    }

    private void answer(Flight f, HttpClientResponse resp) {
        if (resp.statusCode() != 200) {
            resp.body().onComplete(b -> failed(f, "target answered " + resp.statusCode()));
            return;
        }
        if (f.request.plain()) {
            resp.body().onSuccess(b -> plainDone(f, b)).onFailure(e -> failed(f, e.getMessage()));
            return;
        }
        RecordParser events = RecordParser.newDelimited(SSE_DELIMITER, event -> event(f, event.toString()));
        resp.handler(events);
        resp.exceptionHandler(e -> failed(f, "stream broke: " + e.getMessage()));
        resp.endHandler(v -> failed(f, "stream ended before [DONE]"));
    }

    private void event(Flight f, String event) {
        if (!event.startsWith(DATA) || f.machine.done()) {
            return;
        }
        String data = event.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
            complete(f);
            return;
        }
        try {
            JsonObject chunk = new JsonObject(data);
            JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
            JsonObject choice = choices.isEmpty() ? new JsonObject() : choices.getJsonObject(0);
            String piece = choice.getJsonObject("delta", new JsonObject()).getString("content");
            if (choice.getString("finish_reason") != null) {
                f.finishReason = choice.getString("finish_reason");
            }
            if (piece != null && !piece.isEmpty()) {
                token(f, piece);
            }
        } catch (DecodeException | ClassCastException e) {
            failed(f, "target sent a malformed event");
        }
    }

    private void token(Flight f, String piece) {
        long now = System.nanoTime();
        if (f.tokens == 0) {
            f.machine.fire("first_token");
            f.firstTokenNs = now;
            metrics.firstToken(f.spec.tier().name(), (now - f.arrivedNs) / NS_PER_US);
            control.firstToken(f.spec.requestId());
        } else {
            metrics.gap(f.spec.tier().name(), (now - f.lastTokenNs) / NS_PER_US);
        }
        f.lastTokenNs = now;
        f.tokens++;
        if (f.request.stream()) {
            startStream(f);
            write(
                    f,
                    Answers.chunk(
                            f.spec.requestId(), f.request.service(), new JsonObject().put("content", piece), null));
        } else {
            f.text.append(piece);
        }
    }

    private void complete(Flight f) {
        if (f.machine.state().equals("dispatched")) {
            f.machine.fire("first_token");
            f.firstTokenNs = System.nanoTime();
        }
        f.machine.fire("finish");
        if (f.request.stream()) {
            startStream(f);
            write(f, Answers.chunk(f.spec.requestId(), f.request.service(), new JsonObject(), f.finishReason));
            f.caller.response().end(DATA + DONE + SSE_DELIMITER);
        } else {
            f.caller
                    .response()
                    .putHeader("content-type", "application/json")
                    .end(Answers.whole(
                                    f.spec.requestId(),
                                    f.request.service(),
                                    f.text.toString(),
                                    f.finishReason,
                                    f.tokens)
                            .encode());
        }
        delivered(f);
    }

    private void plainDone(Flight f, Buffer body) {
        f.machine.fire("first_token");
        f.firstTokenNs = System.nanoTime();
        f.machine.fire("finish");
        f.caller
                .response()
                .putHeader("content-type", "application/json")
                .putHeader("x-request-id", f.spec.requestId())
                .end(body);
        delivered(f);
    }

    private void delivered(Flight f) {
        long nowMs = MonotonicClock.nowMs();
        long firstMs = (f.firstTokenNs - f.arrivedNs) / 1_000_000;
        boolean inTime = firstMs <= f.spec.tier().firstTokenBudgetMs() && nowMs <= f.spec.dueAtMs();
        metrics.delivered(f.spec.tier().name(), inTime);
        control.ended(f.spec.requestId(), true);
    }

    private void failed(Flight f, String why) {
        if (f.machine.done()) {
            return;
        }
        LOG.infof("dispatch failed request=%s error=%s", f.spec.requestId(), why);
        f.machine.fire("fail");
        Refusal r = Refusal.of(RefusalReason.TARGET_FAILED, why, FAILED_RETRY_MS);
        metrics.refused(r.reason());
        stopUpstream(f);
        endPartial(f, r);
        control.ended(f.spec.requestId(), true);
    }

    private void endPartial(Flight f, Refusal r) {
        if (f.headersSent) {
            write(f, Answers.error(f.spec.requestId(), r).put("partial", true));
            f.caller.response().end(DATA + DONE + SSE_DELIMITER);
        } else {
            Answers.refuse(f.caller.response(), f.spec.requestId(), r);
        }
    }

    private void startStream(Flight f) {
        if (!f.headersSent) {
            f.headersSent = true;
            f.caller
                    .response()
                    .setChunked(true)
                    .putHeader("content-type", "text/event-stream")
                    .putHeader("x-request-id", f.spec.requestId());
        }
    }

    private static void write(Flight f, JsonObject chunk) {
        if (!f.caller.response().closed()) {
            f.caller.response().write(DATA + chunk.encode() + SSE_DELIMITER);
        }
    }

    /** Cancels the request on its engine; what the engine did of its prompt is wasted. */
    private void stopUpstream(Flight f) {
        if (f.sent) {
            metrics.wastedPrefill(f.spec.promptTokens());
            f.upstream.reset();
        }
    }
}
