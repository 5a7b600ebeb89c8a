package org.onyxhinge.tools.load;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;

/**
 * Open-loop load generator that sends each workload item to a router at its scheduled time and collects an {@link
 * Outcome} per item. Each item is sent once, without retries; a request that receives no data for {@code timeoutMs}
 * fails.
 */
public final class Driver implements AutoCloseable {

    private static final int NS_PER_MS = 1_000_000;
    private static final int MAX_CONNECTIONS = 1_024;

    private final Vertx vertx;
    private final HttpClient http;
    private final String host;
    private final List<Integer> ports;
    private final long timeoutMs;
    private int nextPortIndex;

    private Driver(Vertx vertx, String host, List<Integer> ports, long timeoutMs) {
        this.vertx = vertx;
        this.host = host;
        this.ports = List.copyOf(ports);
        this.timeoutMs = timeoutMs;
        this.http = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(true), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** Creates a driver that sends to the router at {@code host:port}. */
    public static Driver create(Vertx vertx, String host, int port, long timeoutMs) {
        return new Driver(vertx, host, List.of(port), timeoutMs);
    }

    /** Creates a driver that sends to several routers in round-robin order, as the platform's load balancer does. */
    public static Driver roundRobin(Vertx vertx, String host, List<Integer> ports, long timeoutMs) {
        return new Driver(vertx, host, ports, timeoutMs);
    }

    /** Sends each item at its scheduled time; completes when all items have an outcome. */
    public Future<List<Outcome>> run(List<WorkItem> items) {
        List<Future<Outcome>> all = new ArrayList<>();
        for (WorkItem item : items) {
            Promise<Outcome> p = Promise.promise();
            vertx.setTimer(Math.max(1, item.atMs()), t -> send(item).onComplete(p));
            all.add(p.future());
        }
        return Future.join(all).map(cf -> {
            List<Outcome> out = new ArrayList<>();
            all.forEach(f -> out.add(f.result()));
            return out;
        });
    }

    /** Sends an item immediately, regardless of its scheduled time. */
    public Future<Outcome> send(WorkItem item) {
        long startNs = System.nanoTime();
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(host)
                .setPort(nextPort())
                .setURI(item.plain() ? "/v1/calls/" + item.service() : "/v1/chat/completions")
                .setIdleTimeout(timeoutMs)
                .putHeader("content-type", "application/json")
                .putHeader("X-Onyx-Workspace", item.workspace())
                .putHeader("X-Onyx-Tier", item.tier());
        if (!item.key().isEmpty()) {
            options.putHeader("Idempotency-Key", item.key());
        }
        Promise<Outcome> done = Promise.promise();
        http.request(options)
                .compose(req -> req.send(requestBody(item).toBuffer()))
                .onSuccess(resp -> readResponse(item, resp, startNs, done))
                .onFailure(e -> done.tryComplete(failedOutcome(item, startNs, "transport: " + e.getMessage())));
        return done.future();
    }

    private synchronized int nextPort() {
        return ports.get(nextPortIndex++ % ports.size());
    }

    private static JsonObject requestBody(WorkItem item) {
        String userPrompt = FillerText.words(
                item.key().isEmpty() ? item.service() + item.atMs() : item.key(), item.userPromptWords());
        if (item.plain()) {
            return new JsonObject().put("instruction", userPrompt);
        }
        JsonArray messages = new JsonArray();
        if (item.systemPromptWords() > 0) {
            messages.add(new JsonObject()
                    .put("role", "system")
                    .put("content", FillerText.words(item.systemPromptName(), item.systemPromptWords())));
        }
        messages.add(new JsonObject().put("role", "user").put("content", userPrompt));
        return new JsonObject()
                .put("model", item.service())
                .put("messages", messages)
                .put("max_tokens", item.maxTokens())
                .put("stream", true);
    }

    private void readResponse(WorkItem item, HttpClientResponse resp, long startNs, Promise<Outcome> done) {
        if (resp.statusCode() != 200 || item.plain()) {
            resp.body()
                    .onSuccess(b -> done.tryComplete(bodyOutcome(item, resp.statusCode(), startNs, b.toString())))
                    .onFailure(e -> done.tryComplete(failedOutcome(item, startNs, e.getMessage())));
            return;
        }
        ResponseStream s = new ResponseStream(item, startNs, resp.getHeader("x-request-id"));
        resp.handler(RecordParser.newDelimited("\n\n", ev -> s.onEvent(ev.toString())));
        resp.exceptionHandler(e -> {
            s.errorType = "transport: " + e.getMessage();
            done.tryComplete(s.toOutcome(false));
        });
        resp.endHandler(v -> done.tryComplete(s.toOutcome(s.done && s.errorType.isEmpty())));
    }

    private static Outcome bodyOutcome(WorkItem item, int status, long startNs, String body) {
        long ms = (System.nanoTime() - startNs) / NS_PER_MS;
        JsonObject j;
        try {
            j = new JsonObject(body);
        } catch (DecodeException e) {
            return new Outcome(item, status, "", false, 0, -1, ms, "malformed", false, 0, List.of(), body);
        }
        JsonObject err = j.getJsonObject("error");
        if (err != null) {
            return new Outcome(
                    item,
                    status,
                    err.getString("request_id", ""),
                    false,
                    0,
                    -1,
                    ms,
                    err.getString("type", ""),
                    err.getBoolean("not_run", false),
                    err.getLong("retry_after_ms", 0L),
                    List.of(),
                    "");
        }
        return new Outcome(
                item, status, j.getString("id", ""), status == 200, 1, ms, ms, "", false, 0, List.of(), j.encode());
    }

    private static Outcome failedOutcome(WorkItem item, long startNs, String reason) {
        return new Outcome(
                item, 0, "", false, 0, -1, (System.nanoTime() - startNs) / NS_PER_MS, reason, false, 0, List.of(), "");
    }

    @Override
    public void close() {
        http.close();
    }

    /** Accumulates the server-sent events of a streamed response. */
    private static final class ResponseStream {
        private final WorkItem item;
        private final long startNs;
        private final StringBuilder text = new StringBuilder();
        private String requestId;
        private final List<Long> gapsMs = new ArrayList<>();
        private long firstMs = -1;
        private long lastNs;
        private int tokens;
        private boolean done;
        private String errorType = "";
        private boolean notRun;

        private ResponseStream(WorkItem item, long startNs, String requestId) {
            this.item = item;
            this.startNs = startNs;
            this.requestId = requestId == null ? "" : requestId;
        }

        private void onEvent(String ev) {
            if (!ev.startsWith("data: ")) {
                return;
            }
            String data = ev.substring("data: ".length()).trim();
            if (data.equals("[DONE]")) {
                done = true;
                return;
            }
            JsonObject j = new JsonObject(data);
            if (j.containsKey("error")) {
                errorType = j.getJsonObject("error").getString("type", "error");
                notRun = j.getJsonObject("error").getBoolean("not_run", false);
                return;
            }
            requestId = j.getString("id", requestId);
            String content = j.getJsonArray("choices")
                    .getJsonObject(0)
                    .getJsonObject("delta")
                    .getString("content");
            if (content != null) {
                long nowNs = System.nanoTime();
                if (firstMs < 0) {
                    firstMs = (nowNs - startNs) / NS_PER_MS;
                } else {
                    gapsMs.add((nowNs - lastNs) / NS_PER_MS);
                }
                lastNs = nowNs;
                tokens++;
                text.append(content);
            }
        }

        private Outcome toOutcome(boolean complete) {
            long ms = (System.nanoTime() - startNs) / NS_PER_MS;
            return new Outcome(
                    item, 200, requestId, complete, tokens, firstMs, ms, errorType, notRun, 0, gapsMs, text.toString());
        }
    }
}
