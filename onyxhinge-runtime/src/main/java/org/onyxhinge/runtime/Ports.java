package org.onyxhinge.runtime;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free loopback ports for processes that are started a moment later. They lie below the range the
 * system gives to outgoing connections, so no connection takes one in between, and one process never
 * answers the same port twice.
 */
public final class Ports {

    private static final int FIRST = 20_000;
    private static final int COUNT = 12_000;
    private static final int SPREAD = 131;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * SPREAD % COUNT));

    private Ports() {}

    /** A port nothing listens on. */
    public static int free() {
        for (int tried = 0; tried < COUNT; tried++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IllegalStateException("no free port in " + FIRST + ".." + (FIRST + COUNT - 1));
    }
}
