package org.onyxhinge.runtime.server;

import java.util.function.Consumer;

import io.vertx.core.http.HttpConnection;

/** What a server tells its owner about connections that it acts on. */
public interface ServerEvents {

    /** Counts an event. */
    void count(String name);

    /**
     * Ends the request on a connection that is about to be closed because it does not progress.
     *
     * @param why reason for the log and the client
     */
    void abandon(HttpConnection connection, String why);

    /** Events of a server whose requests end with their connections. */
    static ServerEvents counting(Consumer<String> counter) {
        return new ServerEvents() {
            @Override
            public void count(String name) {
                counter.accept(name);
            }

            @Override
            public void abandon(HttpConnection connection, String why) {
                // The request notices that its connection is closed.
            }
        };
    }
}
