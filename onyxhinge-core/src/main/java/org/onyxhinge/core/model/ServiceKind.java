package org.onyxhinge.core.model;

/** The kind of back end of a service: a model engine that streams tokens, or a plain request/response service. */
public enum ServiceKind {
    /** A model engine that speaks the chat-completions protocol with streamed tokens. */
    MODEL,
    /** A plain HTTP service that returns one body per call. */
    PLAIN
}
