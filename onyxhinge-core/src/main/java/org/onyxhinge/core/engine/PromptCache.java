package org.onyxhinge.core.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prompt parts cached from earlier requests, with least-recently-used eviction. */
final class PromptCache {

    private final LinkedHashMap<Long, Integer> tokensById = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    /** Number of tokens at the start of a prompt that need no prefill, up to the first part that is not cached. */
    int cachedTokens(List<PromptPart> prompt) {
        int found = 0;
        for (PromptPart part : prompt) {
            if (tokensById.get(part.id()) == null) {
                return found;
            }
            found += part.tokens();
        }
        return found;
    }

    void add(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Integer before = tokensById.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
    }

    /** Evicts parts until at most {@code maxTokens} tokens are cached. */
    void evictTo(long maxTokens) {
        Iterator<Map.Entry<Long, Integer>> eldest = tokensById.entrySet().iterator();
        while (tokens > maxTokens && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    long tokens() {
        return tokens;
    }
}
