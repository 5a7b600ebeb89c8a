package org.onyxhinge.router.dispatch;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.schedule.Refusal;

/**
 * Builds the responses sent to callers: OpenAI-style chat completions and completion chunks that carry
 * the router's request id, and refusals as JSON error bodies with a {@code Retry-After} header.
 */
public final class CallerResponses {

    private static final long MS_PER_SECOND = 1_000;

    private CallerResponses() {}

    static JsonObject chunk(String requestId, String service, JsonObject delta, String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).put("finish_reason", finishReason);
        return new JsonObject()
                .put("id", requestId)
                .put("object", "chat.completion.chunk")
                .put("model", service)
                .put("choices", new JsonArray().add(choice));
    }

    static JsonObject completion(String requestId, String service, String text, String finishReason, int tokens) {
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

    /** Returns the JSON error body of a refusal. */
    public static JsonObject error(String requestId, Refusal refusal) {
        return new JsonObject()
                .put(
                        "error",
                        new JsonObject()
                                .put("type", refusal.reason().name().toLowerCase(java.util.Locale.ROOT))
                                .put("message", refusal.detail())
                                .put("request_id", requestId)
                                .put("not_run", refusal.reason().notRun())
                                .put("retry_after_ms", refusal.retryAfterMs()));
    }

    /**
     * Sends a refusal with its status, error body and {@code Retry-After} header. The response must not
     * have started; a response that has ended or lost its connection is left alone.
     */
    public static void refuse(HttpServerResponse response, String requestId, Refusal refusal) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(refusal.reason().httpStatus()).putHeader("content-type", "application/json");
        if (refusal.retryAfterMs() > 0) {
            response.putHeader(
                    "Retry-After", Long.toString((refusal.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND));
        }
        response.end(error(requestId, refusal).encode());
    }
}
