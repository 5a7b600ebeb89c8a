package org.onyxhinge.runtime;

import java.util.concurrent.atomic.LongAdder;

/** Numbers of bytes received and sent. Thread-safe. */
final class TrafficCount {

    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();

    void received(long bytes) {
        receivedBytes.add(bytes);
    }

    void sent(long bytes) {
        sentBytes.add(bytes);
    }

    long receivedBytes() {
        return receivedBytes.sum();
    }

    long sentBytes() {
        return sentBytes.sum();
    }
}
