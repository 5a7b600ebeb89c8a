package org.onyxhinge.runtime;

import java.util.regex.Pattern;

/**
 * A network address.
 *
 * @param host IP address
 * @param port TCP port
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /** Longest host name. */
    private static final int MAX_HOST_CHARS = 253;

    private static final Pattern NAME = Pattern.compile("[0-9A-Za-z_][0-9A-Za-z_-]{0,62}([.][0-9A-Za-z_-]{1,63})*[.]?");
    private static final Pattern IPV6 = Pattern.compile("\\[?[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*(%[0-9A-Za-z]+)?]?");

    /** Whether the host has the form of an IP address or a host name; other hosts cannot be connected to. */
    public boolean hasValidHost() {
        return host.length() <= MAX_HOST_CHARS
                && (NAME.matcher(host).matches() || IPV6.matcher(host).matches());
    }

    /** Parses {@code IP:PORT}; throws {@link IllegalArgumentException} that names {@code what} was parsed. */
    public static HostPort parse(String what, String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(what + " must be IP:PORT, was '" + text + "'");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port >= 1 && port <= MAX_PORT) {
                return new HostPort(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below with the complete text.
        }
        throw new IllegalArgumentException(what + ": bad port in '" + text + "'");
    }
}
