package org.onyxhinge.core.model;

/** What stands behind a service: a model engine that streams tokens, or a plain request/response service. */
public enum ServiceKind {
    /** A model engine speaking the chat-completions shape with streamed tokens. */
    MODEL,
    /** A plain HTTP service answering one body per call. */
    PLAIN
}
