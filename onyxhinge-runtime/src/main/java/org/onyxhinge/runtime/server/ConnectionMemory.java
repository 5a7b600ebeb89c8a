package org.onyxhinge.runtime.server;

import org.onyxhinge.core.admit.ClientConnection;

/** What one connection has reserved of its server's memory. */
final class ConnectionMemory {

    private final ServerConnections owner;
    private final ClientConnection use;
    private long aheadBytes;
    private long messageBytes;

    private ConnectionMemory(ServerConnections owner, ClientConnection use) {
        this.owner = owner;
        this.use = use;
    }

    /** The memory of a connection that holds nothing. */
    static ConnectionMemory of(ServerConnections owner, ClientConnection use) {
        return new ConnectionMemory(owner, use);
    }

    /** Reserves memory for what is received and not passed on, in place of what was reserved for it before. */
    boolean holdAhead(long bytes) {
        owner.release(use, aheadBytes);
        aheadBytes = 0;
        if (bytes > 0 && !owner.reserve(use, bytes)) {
            return false;
        }
        aheadBytes = bytes;
        return true;
    }

    /** Reserves more memory for the request under way. */
    boolean reserveMessage(long bytes) {
        if (bytes > 0 && !owner.reserve(use, bytes)) {
            return false;
        }
        messageBytes += bytes;
        return true;
    }

    /** The request has ended. */
    void releaseMessage() {
        owner.release(use, messageBytes);
        messageBytes = 0;
    }
}
