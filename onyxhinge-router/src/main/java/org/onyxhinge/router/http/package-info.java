/**
 * The HTTP API for callers: {@code POST /v1/chat/completions}, which is OpenAI-compatible and streams
 * server-sent events if {@code stream} is true, and {@code POST /v1/calls/SERVICE} for plain services.
 * The headers {@code X-Onyx-Workspace} and {@code X-Onyx-Tier} give the workspace and the tier; the
 * header {@code Idempotency-Key} identifies a request that must run at most once.
 */
package org.onyxhinge.router.http;
