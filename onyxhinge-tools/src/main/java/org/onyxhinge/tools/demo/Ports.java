package org.onyxhinge.tools.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;

/** Free loopback ports for the embedded processes. */
public final class Ports {

    private Ports() {}

    /** A port that was free a moment ago. */
    public static int free() {
        try (ServerSocket s = new ServerSocket(0)) {
            s.setReuseAddress(true);
            return s.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port", e);
        }
    }
}
