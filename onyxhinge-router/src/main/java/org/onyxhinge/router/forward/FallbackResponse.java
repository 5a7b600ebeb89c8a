package org.onyxhinge.router.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * An error response that is forwarded if a retry yields no response.
 *
 * @param head its parsed head
 * @param response the response
 * @param body its complete body
 */
record FallbackResponse(ResponseHead head, HttpClientResponse response, Buffer body) {}
