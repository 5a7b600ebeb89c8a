package org.onyxhinge.router.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A caller's request as read from HTTP, before it is checked against the configuration.
 *
 * @param workspace the {@code X-Onyx-Workspace} header
 * @param tier the {@code X-Onyx-Tier} header
 * @param service the body's {@code model}, or the service named in the path of a plain call
 * @param idempotencyKey the {@code Idempotency-Key} header, or empty
 * @param body the body as sent, forwarded to the target
 * @param messages the chat messages, empty for a plain call
 * @param maxTokens tokens wanted, 1 for a plain call
 * @param stream true when the caller wants server-sent events
 * @param plain true for {@code /v1/calls/SERVICE}
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
