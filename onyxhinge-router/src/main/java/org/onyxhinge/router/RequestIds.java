package org.onyxhinge.router;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Request ids unique across routers and restarts: the router's id, its start time in base 36, and a
 * counter, such as {@code r1-lq2x3k-42}.
 */
public final class RequestIds {

    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    private RequestIds(String prefix) {
        this.prefix = prefix;
    }

    /** Creates the ids of one router run. */
    public static RequestIds of(String routerId, long startMs) {
        return new RequestIds(routerId + "-" + Long.toString(startMs, 36) + "-");
    }

    /** The next id. */
    public String next() {
        return prefix + next.incrementAndGet();
    }
}
