package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.vertx.core.MultiMap;

/** Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */
public final class HopHeaders {

    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopHeaders() {}

    /** Copies the end-to-end headers, except those in {@code dropped} (lower case). */
    public static void copy(MultiMap from, MultiMap to, Set<String> dropped) {
        Set<String> listed = listedInConnection(from);
        for (Map.Entry<String, String> e : from) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!NAMES.contains(name) && !dropped.contains(name) && !listed.contains(name)) {
                to.add(e.getKey(), e.getValue());
            }
        }
    }

    private static Set<String> listedInConnection(MultiMap headers) {
        String connection = headers.get("connection");
        if (connection == null) {
            return Set.of();
        }
        Set<String> out = new HashSet<>();
        for (String part : connection.split(",")) {
            out.add(part.trim().toLowerCase(Locale.ROOT));
        }
        return out;
    }
}
