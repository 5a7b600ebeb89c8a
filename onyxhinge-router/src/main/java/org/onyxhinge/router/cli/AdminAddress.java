package org.onyxhinge.router.cli;

/**
 * Address of a router's admin port.
 *
 * @param host host name or IP address
 * @param port port number
 */
record AdminAddress(String host, int port) {

    static AdminAddress parse(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("--admin must be HOST:PORT, was '" + hostPort + "'");
        }
        return new AdminAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }
}
