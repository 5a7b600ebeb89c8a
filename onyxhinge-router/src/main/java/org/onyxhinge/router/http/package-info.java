/**
 * The callers' interface: {@code POST /v1/chat/completions} in the OpenAI shape, streamed as
 * server-sent events when {@code stream} is true, and {@code POST /v1/calls/SERVICE} for plain
 * services. Workspace and tier come in the {@code X-Onyx-Workspace} and {@code X-Onyx-Tier} headers;
 * an {@code Idempotency-Key} header names a request that must not run twice.
 */
package org.onyxhinge.router.http;
