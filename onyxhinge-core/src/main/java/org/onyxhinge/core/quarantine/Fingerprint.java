package org.onyxhinge.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Identity of something that may be at fault when a target ends: a request across retries by its caller, or a part
 * that the prompts of different requests share.
 *
 * @param high upper half of the hash
 * @param low lower half of the hash
 */
public record Fingerprint(long high, long low) {

    /** Fingerprint of an unknown request. */
    public static final Fingerprint NONE = new Fingerprint(0, 0);

    /** Terminates each field so that adjacent fields cannot be confused; it does not occur in a request head. */
    private static final char TERMINATOR = '\0';

    /** Begins the hashed bytes of a part. Those of a request never begin with it, because its method is not empty. */
    private static final String PART_PREFIX = "" + TERMINATOR + TERMINATOR + TERMINATOR;

    /**
     * Computes the fingerprint of a request from its content and its workspace. Ids and deadlines change with each
     * retry and are excluded.
     *
     * @param workspace its caller's workspace; empty on keyless routes
     * @param host host of the request
     * @param uri path and query of the request
     */
    public static Fingerprint of(String workspace, String method, String host, String uri, byte[] body) {
        byte[] head = (workspace + TERMINATOR + method + TERMINATOR + host + TERMINATOR + uri + TERMINATOR)
                .getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return hashOf(all);
    }

    /**
     * Computes the fingerprint of a part of a prompt. It does not depend on the workspace: whoever sends the part, the
     * targets read the same tokens.
     */
    public static Fingerprint ofPromptPart(String partId) {
        return hashOf((PART_PREFIX + partId).getBytes(StandardCharsets.UTF_8));
    }

    private static Fingerprint hashOf(byte[] bytes) {
        long[] hash = MurmurHash3.hash128x64(bytes);
        return new Fingerprint(hash[0], hash[1]);
    }

    /** Returns 32 hexadecimal digits. */
    @Override
    public String toString() {
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(high) + hex.toHexDigits(low);
    }
}
