package org.onyxhinge.router;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids that are unique across routers and restarts. An id consists of the router's id,
 * its start time in base 36 and a counter, for example {@code r1-lq2x3k-42}.
 */
public final class RequestIdGenerator {

    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    private RequestIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /** Creates the generator for a router that started at {@code startMs}. */
    public static RequestIdGenerator of(String routerId, long startMs) {
        return new RequestIdGenerator(routerId + "-" + Long.toString(startMs, 36) + "-");
    }

    /** Returns the next id. */
    public String next() {
        return prefix + next.incrementAndGet();
    }
}
