package org.onyxhinge.router.cli;

/**
 * A router's admin address given as {@code HOST:PORT}.
 *
 * @param host the host
 * @param port the port
 */
record AdminTarget(String host, int port) {

    static AdminTarget parse(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("--admin must be HOST:PORT, was '" + hostPort + "'");
        }
        return new AdminTarget(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }
}
