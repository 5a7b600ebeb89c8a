package org.onyxhinge.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.onyxhinge.core.text.Tokens;

/**
 * The properties of a chat-completions prompt that the engine stand-in uses.
 *
 * @param tokens prompt length in tokens
 * @param hash hash of the complete prompt, which determines the generated words
 * @param prefixHash hash of the system message, which is the shared prefix; 0 if there is none
 * @param prefixTokens length of the system message in tokens
 */
record Prompt(int tokens, long hash, long prefixHash, int prefixTokens) {

    static Prompt of(JsonArray messages) {
        StringBuilder all = new StringBuilder();
        String system = "";
        for (int i = 0; i < messages.size(); i++) {
            JsonObject m = messages.getJsonObject(i);
            String content = m.getString("content", "");
            if (i == 0 && "system".equals(m.getString("role"))) {
                system = content;
            }
            all.append(content).append('\n');
        }
        String text = all.toString();
        return new Prompt(Tokens.count(text), Tokens.prefixHash(text), Tokens.prefixHash(system), Tokens.count(system));
    }
}
