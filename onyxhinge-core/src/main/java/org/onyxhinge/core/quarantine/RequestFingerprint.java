package org.onyxhinge.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Identity of a request, the same for each time that its caller sends it: a hash of what is asked, and by whom. Ids and
 * deadlines differ from one time to the next and are left out.
 *
 * @param high upper half of the hash
 * @param low lower half of the hash
 */
public record RequestFingerprint(long high, long low) {

    /** Of a request that nothing is known of. */
    public static final RequestFingerprint NONE = new RequestFingerprint(0, 0);

    /** Ends each text, so that two texts never run into each other; no text of a request's head holds it. */
    private static final char END = '\0';

    /**
     * The fingerprint of a request.
     *
     * @param workspace its caller's workspace; empty on keyless routes
     * @param host the host it is for
     * @param uri its path and query
     */
    public static RequestFingerprint of(String workspace, String method, String host, String uri, byte[] body) {
        byte[] head = (workspace + END + method + END + host + END + uri + END).getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        long[] hash = MurmurHash3.hash128x64(all);
        return new RequestFingerprint(hash[0], hash[1]);
    }

    /** As 32 hexadecimal digits. */
    @Override
    public String toString() {
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(high) + hex.toHexDigits(low);
    }
}
