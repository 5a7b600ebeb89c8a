package org.onyxhinge.router.forward;

/** What a request costs on average before it is placed: time on the event loop, and bytes on the link. */
final class RequestCost {

    /** Weight of the newest request; the averages span about ten. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** About the size of a request without a body. */
    private static final double HEAD_BYTES = 500;

    private static final double NS_PER_MS = 1e6;

    private double averageNs;
    private double averageBytes = HEAD_BYTES;

    /** Records the time that it took to read and check the head of a request. */
    void took(long ns) {
        averageNs += SMOOTHING_FACTOR * (ns - averageNs);
    }

    /** Records the size of the body of a request. */
    void received(int bodyBytes) {
        averageBytes += SMOOTHING_FACTOR * (HEAD_BYTES + bodyBytes - averageBytes);
    }

    /** Expected time for a number of requests. */
    long expectedMs(int requests) {
        return (long) (requests * averageNs / NS_PER_MS);
    }

    /** Expected size of a number of requests. */
    long expectedBytes(int requests) {
        return (long) (requests * averageBytes);
    }
}
