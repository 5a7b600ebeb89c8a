package org.onyxhinge.core.text;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The token estimate shared by onyxhinge and its engine stand-ins: one token per whitespace-separated word. Real
 * engines use other tokenizers; the router only needs a measure proportional to prefill work.
 */
public final class Tokens {

    private Tokens() {}

    /** Counts the words of {@code text}; 0 for null or blank. */
    public static int count(String text) {
        if (text == null) {
            return 0;
        }
        int n = 0;
        boolean inWord = false;
        for (int i = 0; i < text.length(); i++) {
            boolean space = Character.isWhitespace(text.charAt(i));
            if (!space && !inWord) {
                n++;
            }
            inWord = !space;
        }
        return n;
    }

    /** A stable non-zero 64-bit hash of a prompt prefix, for prefix-cache affinity; 0 for empty text. */
    public static long prefixHash(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        CRC32C crc = new CRC32C();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        crc.update(bytes);
        long high = crc.getValue();
        crc.update(bytes);
        long hash = (high << 32) ^ crc.getValue();
        return hash == 0 ? 1 : hash;
    }
}
