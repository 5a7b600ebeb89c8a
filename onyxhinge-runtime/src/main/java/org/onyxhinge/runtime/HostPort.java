package org.onyxhinge.runtime;

/**
 * A network address.
 *
 * @param host IP address
 * @param port TCP port
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

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
