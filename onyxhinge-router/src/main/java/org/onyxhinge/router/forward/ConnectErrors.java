package org.onyxhinge.router.forward;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;

/** Why a connection could not be made. */
final class ConnectErrors {

    private ConnectErrors() {}

    /** True when the address answered that nothing listens there, so that no process runs behind it. */
    static boolean refused(Throwable e) {
        return e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
    }
}
