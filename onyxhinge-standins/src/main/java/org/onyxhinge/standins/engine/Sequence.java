package org.onyxhinge.standins.engine;

import io.vertx.core.http.HttpServerResponse;

/** State of a request in the engine stand-in: prefill progress and generated tokens. Confined to its context. */
final class Sequence {

    final String id;
    final HttpServerResponse response;
    final boolean stream;
    final long promptHash;
    final int promptTokens;
    final int cachedTokens;
    final int maxTokens;
    final long prefixHash;
    final int prefixTokens;
    final StringBuilder text = new StringBuilder();
    int prefilled;
    int generated;
    double decodeCredit;
    boolean cancelled;

    Sequence(String id, HttpServerResponse response, boolean stream, Prompt prompt, int cachedTokens, int maxTokens) {
        this.id = id;
        this.response = response;
        this.stream = stream;
        this.promptHash = prompt.hash();
        this.promptTokens = prompt.tokens();
        this.prefixHash = prompt.prefixHash();
        this.prefixTokens = prompt.prefixTokens();
        this.cachedTokens = cachedTokens;
        this.maxTokens = maxTokens;
        this.prefilled = cachedTokens;
    }

    boolean inPrefill() {
        return prefilled < promptTokens;
    }

    boolean finished() {
        return generated >= maxTokens;
    }
}
