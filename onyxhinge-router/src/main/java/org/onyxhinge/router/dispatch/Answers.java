package org.onyxhinge.router.dispatch;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.schedule.Refusal;

/**
 * Writes what the router sends callers: chunks in the OpenAI chat-completions shape, carrying the
 * router's request id, and refusals as JSON with {@code Retry-After}.
 */
public final class Answers {

    private static final long MS_PER_SECOND = 1_000;

    private Answers() {}

    static JsonObject chunk(String requestId, String service, JsonObject delta, String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).put("finish_reason", finishReason);
        return new JsonObject()
                .put("id", requestId)
                .put("object", "chat.completion.chunk")
                .put("model", service)
                .put("choices", new JsonArray().add(choice));
    }

    static JsonObject whole(String requestId, String service, String text, String finishReason, int tokens) {
        JsonObject message = new JsonObject().put("role", "assistant").put("content", text);
        JsonObject choice =
                new JsonObject().put("index", 0).put("message", message).put("finish_reason", finishReason);
        return new JsonObject()
                .put("id", requestId)
                .put("object", "chat.completion")
                .put("model", service)
                .put("choices", new JsonArray().add(choice))
                .put("usage", new JsonObject().put("completion_tokens", tokens));
    }

    /** The JSON error body of a refusal. */
    public static JsonObject error(String requestId, Refusal r) {
        return new JsonObject()
                .put(
                        "error",
                        new JsonObject()
                                .put("type", r.reason().name().toLowerCase(java.util.Locale.ROOT))
                                .put("message", r.detail())
                                .put("request_id", requestId)
                                .put("not_run", r.reason().notRun())
                                .put("retry_after_ms", r.retryAfterMs()));
    }

    /** Ends a response that has not started with the refusal's status, body and {@code Retry-After}. */
    public static void refuse(HttpServerResponse response, String requestId, Refusal r) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(r.reason().httpStatus()).putHeader("content-type", "application/json");
        if (r.retryAfterMs() > 0) {
            response.putHeader("Retry-After", Long.toString((r.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND));
        }
        response.end(error(requestId, r).encode());
    }
}
