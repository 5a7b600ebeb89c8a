package org.onyxhinge.runtime;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free loopback ports for processes that are about to be started. The ports are below the
 * ephemeral range, so that no outgoing connection takes one in the meantime, and a process does not
 * return the same port again until it has tried the whole range.
 */
public final class Ports {

    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int PID_STRIDE = 131;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PID_STRIDE % PORT_COUNT));

    private Ports() {}

    /** Returns a port on which nothing listens. */
    public static int free() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException portInUse) {
                continue;
            }
        }
        throw new IllegalStateException("no free port in " + FIRST_PORT + ".." + (FIRST_PORT + PORT_COUNT - 1));
    }
}
