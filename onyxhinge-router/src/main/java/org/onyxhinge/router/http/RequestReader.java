package org.onyxhinge.router.http;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.wire.BoundedJson;

/**
 * Parses a caller's HTTP request into a {@link CallerRequest}, or into a {@link
 * RefusalReason#BAD_REQUEST} refusal that names the missing or malformed part.
 */
public final class RequestReader {

    /** Header with the name of the workspace. */
    public static final String WORKSPACE_HEADER = "X-Onyx-Workspace";
    /** Header with the name of the tier. */
    public static final String TIER_HEADER = "X-Onyx-Tier";
    /** Header with the idempotency key. */
    public static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

    private static final int MAX_TOKENS_LIMIT = 1_000_000;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

    private RequestReader() {}

    private record Headers(String workspace, String tier, String idempotencyKey) {}

    /** Parses a chat-completions request. */
    public static Either<Refusal, CallerRequest> chat(MultiMap headers, String bodyText) {
        return parseHeaders(headers).flatMap(h -> parseJson(bodyText).flatMap(body -> parseChatBody(h, body)));
    }

    /** Parses a plain call to {@code service}. */
    public static Either<Refusal, CallerRequest> plain(MultiMap headers, String service, String bodyText) {
        return parseHeaders(headers)
                .flatMap(h -> parseJson(bodyText)
                        .map(body -> new CallerRequest(
                                h.workspace(),
                                h.tier(),
                                service,
                                h.idempotencyKey(),
                                body,
                                new JsonArray(),
                                1,
                                false,
                                true)));
    }

    private static Either<Refusal, CallerRequest> parseChatBody(Headers h, JsonObject body) {
        Object model = body.getValue("model");
        Object messages = body.getValue("messages");
        if (!(model instanceof String service) || service.isBlank()) {
            return badRequest("body needs \"model\", the service name, as a string");
        }
        if (!(messages instanceof JsonArray list) || list.isEmpty() || !areMessages(list)) {
            return badRequest("body needs \"messages\": a non-empty array of {\"role\", \"content\"} objects");
        }
        Object max = body.getValue("max_tokens", DEFAULT_MAX_TOKENS);
        if (!(max instanceof Number n) || n.intValue() < 1 || n.intValue() > MAX_TOKENS_LIMIT) {
            return badRequest("\"max_tokens\" must be a whole number 1.." + MAX_TOKENS_LIMIT);
        }
        boolean stream = Boolean.TRUE.equals(body.getValue("stream"));
        return Either.right(new CallerRequest(
                h.workspace(), h.tier(), service, h.idempotencyKey(), body, list, n.intValue(), stream, false));
    }

    private static boolean areMessages(JsonArray list) {
        for (Object o : list) {
            if (!(o instanceof JsonObject m)
                    || !(m.getValue("content") instanceof String)
                    || !(m.getValue("role") instanceof String)) {
                return false;
            }
        }
        return true;
    }

    private static Either<Refusal, Headers> parseHeaders(MultiMap headers) {
        String workspace = headers.get(WORKSPACE_HEADER);
        String tier = headers.get(TIER_HEADER);
        String key = headers.get(IDEMPOTENCY_HEADER) == null
                ? ""
                : headers.get(IDEMPOTENCY_HEADER).trim();
        if (workspace == null || workspace.isBlank()) {
            return badRequest("header " + WORKSPACE_HEADER + " is required");
        }
        if (tier == null || tier.isBlank()) {
            return badRequest("header " + TIER_HEADER + " is required");
        }
        if (key.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            return badRequest("header " + IDEMPOTENCY_HEADER + " is longer than " + MAX_IDEMPOTENCY_KEY_LENGTH);
        }
        return Either.right(new Headers(workspace.trim(), tier.trim(), key));
    }

    private static Either<Refusal, JsonObject> parseJson(String bodyText) {
        try {
            return Either.right(BoundedJson.object(bodyText));
        } catch (DecodeException | ClassCastException e) {
            return badRequest("body is not a JSON object");
        }
    }

    private static <T> Either<Refusal, T> badRequest(String detail) {
        return Either.left(Refusal.of(RefusalReason.BAD_REQUEST, detail, 0));
    }
}
