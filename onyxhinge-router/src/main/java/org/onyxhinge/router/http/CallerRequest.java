package org.onyxhinge.router.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A caller's request as parsed from HTTP, before validation against the configuration.
 *
 * @param workspace the {@code X-Onyx-Workspace} header
 * @param tier the {@code X-Onyx-Tier} header
 * @param service the {@code model} field of the body, or the service in the path of a plain call
 * @param idempotencyKey the {@code Idempotency-Key} header, or an empty string
 * @param body the body, which is forwarded to the target
 * @param messages the chat messages; empty for a plain call
 * @param maxTokens maximum number of tokens to generate; 1 for a plain call
 * @param stream true if the caller requests server-sent events
 * @param plain true for a plain call, {@code /v1/calls/SERVICE}
 */
public record CallerRequest(
        String workspace,
        String tier,
        String service,
        String idempotencyKey,
        JsonObject body,
        JsonArray messages,
        int maxTokens,
        boolean stream,
        boolean plain) {}
