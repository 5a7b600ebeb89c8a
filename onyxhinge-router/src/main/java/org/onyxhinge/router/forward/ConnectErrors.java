package org.onyxhinge.router.forward;

import java.net.ConnectException;
import java.net.SocketException;

import io.netty.channel.ConnectTimeoutException;

/** Classifies connection failures. */
final class ConnectErrors {

    private ConnectErrors() {}

    /** True if the connection was refused, which means that no process listens at the address. */
    static boolean refused(Throwable e) {
        return e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
    }

    /** True if the connection was reset while it was made: a process listened, but may be closing its socket. */
    static boolean reset(Throwable e) {
        return e instanceof SocketException && !(e instanceof ConnectException);
    }
}
