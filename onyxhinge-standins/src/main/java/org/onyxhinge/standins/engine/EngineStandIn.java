package org.onyxhinge.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;

/**
 * A model engine stand-in with continuous batching. It serves the OpenAI chat-completions API ({@code POST
 * /v1/chat/completions}, streamed as server-sent events), admits requests in FIFO order without priorities,
 * caches prompt prefixes (the system message) in an LRU cache of limited size, and publishes its load with a
 * delay ({@code GET /load}). Closing the connection cancels a request. {@code POST
 * /admin/slowdown?factor=F} makes it F times slower, which its load report does not show. {@code POST
 * /admin/order} accepts orders to load a model, adapter or version or to change the role. {@code GET
 * /stats} returns exact counts, including wasted prefill, for the load generator.
 *
 * <p>In every step of {@link #STEP_MS}, sequences in prefill share the prefill budget in FIFO order, and
 * each sequence past prefill receives its decode tokens.
 */
public final class EngineStandIn implements AutoCloseable {

    /** Duration of a batch step. */
    public static final long STEP_MS = 10;

    private static final Logger LOG = Logger.getLogger(EngineStandIn.class);
    private static final String[] WORDS = {
        "route", "crowding", "platform", "letter", "envelope", "forecast", "gate", "station", "draft", "print",
        "address", "corridor", "supervisor", "hour", "bus", "campaign", "appeal", "household", "marshal", "slot"
    };
    private static final long MS_PER_SECOND = 1_000;

    private final Vertx vertx;
    private final Context context;
    private final EngineSpec spec;
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final Map<Long, Boolean> cache;
    private final List<Long> newlyCached = new ArrayList<>();
    private JsonObject publishedLoad = new JsonObject();
    private HttpServer server;
    private double slowdown = 1.0;
    private long stepTimer;
    private long loadTimer;
    private long prefillComputed;
    private long prefillWasted;
    private long completed;
    private long cancelled;
    private long tokensGenerated;
    private long highestOrderToken;
    private long ordersExecuted;
    private long duplicateRequests;
    private final Set<String> requestIds = new HashSet<>();
    private final Map<String, Object> appliedOrders = new TreeMap<>();

    private EngineStandIn(Vertx vertx, EngineSpec spec) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.spec = spec;
        this.cache = BoundedMap.dropLeastRecentlyUsed(spec.cachePrefixes());
    }

    /** Starts the engine on {@code host:port} (0 for any free port). */
    public static Future<EngineStandIn> start(Vertx vertx, String host, int port, EngineSpec spec) {
        EngineStandIn engine = new EngineStandIn(vertx, spec);
        Promise<EngineStandIn> done = Promise.promise();
        engine.context.runOnContext(v -> engine.listen(host, port).map(engine).onComplete(done));
        return done.future();
    }

    /** The port on which it listens. */
    public int port() {
        return server.actualPort();
    }

    /** The parameters of this engine. */
    public EngineSpec spec() {
        return spec;
    }

    @Override
    public void close() {
        vertx.cancelTimer(stepTimer);
        vertx.cancelTimer(loadTimer);
        if (server != null) {
            server.close();
        }
    }

    private Future<Void> listen(String host, int port) {
        stepTimer = vertx.setPeriodic(STEP_MS, t -> step());
        loadTimer = vertx.setPeriodic(Math.max(STEP_MS, spec.loadLagMs()), t -> publishLoad());
        publishLoad();
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(port, host).mapEmpty();
    }

    private void handle(HttpServerRequest req) {
        String path = req.path();
        if (path.equals("/v1/chat/completions") && req.method().name().equals("POST")) {
            req.body().onSuccess(body -> context.runOnContext(v -> admit(req, body.toString())));
        } else if (path.equals("/load")) {
            req.response().putHeader("content-type", "application/json").end(publishedLoad.encode());
        } else if (path.equals("/stats")) {
            context.runOnContext(v ->
                    req.response().putHeader("content-type", "application/json").end(stats().encode()));
        } else if (path.equals("/admin/order")) {
            req.body().onSuccess(body -> context.runOnContext(v -> executeOrder(req, body.toString())));
        } else if (path.equals("/admin/slowdown")) {
            double factor = Double.parseDouble(req.getParam("factor", "1"));
            context.runOnContext(v -> {
                slowdown = Math.max(0.1, factor);
                req.response().end("slowdown " + slowdown + "\n");
            });
        } else {
            req.response().setStatusCode(404).end();
        }
    }

    /** Executes an order; rejects an outdated fencing token only if this engine checks fencing. */
    private void executeOrder(HttpServerRequest req, String text) {
        JsonObject order = new JsonObject(text);
        long token = order.getLong("fencingToken", 0L);
        if (spec.checksFencing() && token < highestOrderToken) {
            req.response().setStatusCode(409).end("token " + token + " is older than " + highestOrderToken + "\n");
            return;
        }
        highestOrderToken = Math.max(highestOrderToken, token);
        appliedOrders.put(order.getString("kind"), order.getString("argument"));
        ordersExecuted++;
        req.response().end("ok\n");
    }

    private void admit(HttpServerRequest req, String text) {
        JsonObject body;
        try {
            body = new JsonObject(text);
        } catch (DecodeException e) {
            req.response().setStatusCode(400).end("{\"error\":\"body is not JSON\"}");
            return;
        }
        JsonArray messages = body.getJsonArray("messages", new JsonArray());
        Prompt prompt = Prompt.of(messages);
        boolean hit = prompt.prefixHash() != 0 && cache.containsKey(prompt.prefixHash());
        int cachedTokens = hit ? Math.min(prompt.prefixTokens(), prompt.tokens()) : 0;
        String id = req.getHeader("x-request-id") == null ? "eng-" + System.nanoTime() : req.getHeader("x-request-id");
        if (!requestIds.add(id)) {
            duplicateRequests++;
        }
        req.response().putHeader("x-request-id", id);
        boolean stream = body.getBoolean("stream", false);
        Sequence s = new Sequence(id, req.response(), stream, prompt, cachedTokens, body.getInteger("max_tokens", 16));
        if (stream) {
            req.response().setChunked(true).putHeader("content-type", "text/event-stream");
        }
        req.response().closeHandler(v -> s.cancelled = true);
        waiting.addLast(s);
    }

    private void step() {
        dropCancelled();
        while (running.size() < spec.maxBatch() && !waiting.isEmpty()) {
            running.add(waiting.pollFirst());
        }
        long prefillBudget = (long) (spec.prefillTokensPerSecond() * STEP_MS / MS_PER_SECOND / slowdown);
        double decodeShare = spec.decodeTokensPerSecond() * STEP_MS / (double) MS_PER_SECOND / slowdown;
        for (Iterator<Sequence> iterator = running.iterator(); iterator.hasNext(); ) {
            Sequence s = iterator.next();
            if (s.inPrefill()) {
                prefillBudget -= prefill(s, prefillBudget);
            } else if (decode(s, decodeShare)) {
                iterator.remove();
                finish(s);
            }
        }
    }

    private long prefill(Sequence s, long budget) {
        int processed = (int) Math.min(budget, s.promptTokens - s.prefilled);
        s.prefilled += processed;
        prefillComputed += processed;
        if (!s.inPrefill() && s.prefixHash != 0 && cache.put(s.prefixHash, Boolean.TRUE) == null) {
            newlyCached.add(s.prefixHash);
        }
        return processed;
    }

    private boolean decode(Sequence s, double share) {
        s.decodeCredit += share;
        while (s.decodeCredit >= 1 && !s.finished()) {
            s.decodeCredit -= 1;
            String word = WORDS[(int) Math.floorMod(s.promptHash + 31L * s.generated, (long) WORDS.length)];
            s.generated++;
            tokensGenerated++;
            emit(s, word + " ");
        }
        return s.finished();
    }

    private void emit(Sequence s, String text) {
        if (s.stream) {
            JsonObject delta = new JsonObject().put("content", text);
            s.response.write("data: " + chunk(s, delta, null).encode() + "\n\n");
        } else {
            s.text.append(text);
        }
    }

    private void finish(Sequence s) {
        completed++;
        JsonObject usage = new JsonObject()
                .put("prompt_tokens", s.promptTokens)
                .put("completion_tokens", s.generated)
                .put("cached_tokens", s.cachedTokens);
        if (s.stream) {
            JsonObject last = chunk(s, new JsonObject(), "length").put("usage", usage);
            s.response.write("data: " + last.encode() + "\n\n");
            s.response.end("data: [DONE]\n\n");
        } else {
            JsonObject message = new JsonObject().put("role", "assistant").put("content", s.text.toString());
            JsonObject choice =
                    new JsonObject().put("index", 0).put("message", message).put("finish_reason", "length");
            s.response
                    .putHeader("content-type", "application/json")
                    .end(new JsonObject()
                            .put("id", s.id)
                            .put("object", "chat.completion")
                            .put("choices", new JsonArray().add(choice))
                            .put("usage", usage)
                            .encode());
        }
    }

    private JsonObject chunk(Sequence s, JsonObject delta, String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).put("finish_reason", finishReason);
        return new JsonObject()
                .put("id", s.id)
                .put("object", "chat.completion.chunk")
                .put("model", spec.engineId())
                .put("choices", new JsonArray().add(choice));
    }

    private void dropCancelled() {
        for (Iterator<Sequence> iterator = running.iterator(); iterator.hasNext(); ) {
            Sequence s = iterator.next();
            if (s.cancelled) {
                iterator.remove();
                cancelled++;
                prefillWasted += s.prefilled - s.cachedTokens;
                LOG.debugf("request cancelled engine=%s request=%s", spec.engineId(), s.id);
            }
        }
        waiting.removeIf(s -> s.cancelled);
    }

    private void publishLoad() {
        JsonArray prefixes = new JsonArray();
        newlyCached.forEach(prefixes::add);
        newlyCached.clear();
        publishedLoad = new JsonObject()
                .put("engineId", spec.engineId())
                .put("running", running.size())
                .put("waiting", waiting.size())
                .put("maxBatch", spec.maxBatch())
                .put("prefillTokensPerSecond", spec.prefillTokensPerSecond())
                .put("decodeTokensPerSecond", spec.decodeTokensPerSecond())
                .put("checksFencing", spec.checksFencing())
                .put("cachedPrefixes", prefixes);
    }

    private JsonObject stats() {
        return new JsonObject()
                .put("engineId", spec.engineId())
                .put("prefillTokensComputed", prefillComputed)
                .put("prefillTokensWasted", prefillWasted)
                .put("completed", completed)
                .put("cancelled", cancelled)
                .put("tokensGenerated", tokensGenerated)
                .put("requestsSeen", requestIds.size())
                .put("requestsSeenTwice", duplicateRequests)
                .put("ordersTaken", ordersExecuted)
                .put("inForce", new JsonObject(appliedOrders))
                .put("running", running.size())
                .put("waiting", waiting.size());
    }
}
