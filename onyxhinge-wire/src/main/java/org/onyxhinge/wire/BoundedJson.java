package org.onyxhinge.wire;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * JSON that another process or an operator has written. The parser recurses for each level of nesting, so that deep
 * text would overflow the stack, at a depth that depends on the thread; text beyond a fixed depth is not parsed.
 */
public final class BoundedJson {

    /** Far beyond any message or setting; a level takes some hundred bytes of stack. */
    private static final int MAX_DEPTH = 64;

    private BoundedJson() {}

    /** Parses an object; throws {@link DecodeException} if the text is none, or is nested too deeply. */
    public static JsonObject object(String text) {
        if (depth(text) > MAX_DEPTH) {
            throw new DecodeException("nested more than " + MAX_DEPTH + " levels deep");
        }
        JsonObject object = new JsonObject(text);
        if (object.getMap() == null) {
            throw new DecodeException("no object");
        }
        return object;
    }

    /**
     * The deepest nesting, counted to the first level beyond the limit. In text that is not JSON the parser gets no
     * deeper than this, as it stops at the first error.
     */
    private static int depth(String text) {
        int depth = 0;
        int deepest = 0;
        boolean inString = false;
        for (int i = 0; i < text.length() && deepest <= MAX_DEPTH; i++) {
            char c = text.charAt(i);
            if (inString) {
                i += c == '\\' ? 1 : 0;
                inString = c != '"';
            } else {
                inString = c == '"';
                depth += c == '{' || c == '[' ? 1 : 0;
                depth -= c == '}' || c == ']' ? 1 : 0;
                deepest = Math.max(deepest, depth);
            }
        }
        return deepest;
    }
}
