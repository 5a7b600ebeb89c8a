package org.onyxhinge.router.forward;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;

/** Classifies connection failures. */
final class ConnectErrors {

    private ConnectErrors() {}

    /** True if the connection was refused, which means that no process listens at the address. */
    static boolean refused(Throwable e) {
        return e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
    }
}
