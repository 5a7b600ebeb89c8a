package org.onyxhinge.runtime.server;

import org.onyxhinge.core.limit.MemoryBudget;

/**
 * What all connections of a server may take together.
 *
 * @param maxConnections most open connections
 * @param memoryBytes memory for heads, for what is received ahead, and for bodies if they are counted
 * @param requestBytes what a request takes beside its head and body
 * @param bodyCost memory that a byte of a body takes until the response; 0 if bodies are counted elsewhere
 * @param responseTimeoutMs time in which a response is taken by its client; 0 for no limit
 */
public record ServerCapacity(
        int maxConnections, long memoryBytes, long requestBytes, int bodyCost, long responseTimeoutMs) {

    /** Bytes of heap that stand against one connection; it takes a part of them. */
    private static final long HEAP_PER_CONNECTION_BYTES = 80 << 10;

    /** Part of a process's descriptors for its clients; the rest is for its own connections and files. */
    private static final double DESCRIPTOR_FRACTION = 0.5;

    /** Size of the shortest header line, of one character and without a value. */
    private static final int SHORTEST_LINE_BYTES = 3;

    /** What a header line takes in memory beside its bytes: an entry, a name and a value. */
    private static final int LINE_COST_BYTES = 160;

    /** Times that the bytes of a head are in memory: received, as names and values, and copied for a target. */
    private static final int HEAD_COPIES = 2;

    private static final long PERCENT = 100;

    /** What a status request may take until its response is written, mostly the response. */
    private static final long STATUS_REQUEST_BYTES = 64 << 10;

    private static final int STATUS_CONNECTIONS = 64;
    private static final long STATUS_HEAP_PERCENT = 6;
    private static final long STATUS_RESPONSE_TIMEOUT_MS = 5_000;

    /** Percentage of the heap for the heads of all requests together. */
    public static final long HEAD_HEAP_PERCENT = 12;

    /** What a request of a caller takes beside its head and body. */
    public static final long REQUEST_BYTES = 2_048;

    /** Returns a percentage of this process's heap in bytes. */
    public static long heapBytes(long percent) {
        return Runtime.getRuntime().maxMemory() * percent / PERCENT;
    }

    /** Memory that a request with a head takes, without its body. */
    long requestCost(int headBytes, int lines) {
        return requestBytes + (long) lines * LINE_COST_BYTES + (long) HEAD_COPIES * headBytes;
    }

    /** Whether a single request of these sizes always has room, however short the lines of its head are. */
    public boolean fits(int maxHeadBytes, int maxBodyBytes) {
        long headCost = requestCost(maxHeadBytes, maxHeadBytes / SHORTEST_LINE_BYTES);
        return MemoryBudget.create(memoryBytes).fits(headCost + (long) bodyCost * maxBodyBytes, 0);
    }

    /** The most connections that this process's heap and its own limit of descriptors leave room for. */
    public static int defaultMaxConnections() {
        return maxConnections(Descriptors.limit());
    }

    /** The most connections that this process's heap and a number of descriptors leave room for. */
    public static int maxConnections(long descriptors) {
        long byHeap = Runtime.getRuntime().maxMemory() / HEAP_PER_CONNECTION_BYTES;
        long byDescriptors = (long) (DESCRIPTOR_FRACTION * descriptors);
        return (int) Math.max(1, Math.min(byHeap, byDescriptors));
    }

    /** The capacity of a server whose bodies are counted elsewhere. */
    public static ServerCapacity ofHeads(int maxConnections) {
        return new ServerCapacity(maxConnections, heapBytes(HEAD_HEAP_PERCENT), REQUEST_BYTES, 0, 0);
    }

    /** The capacity of a server that serves a process's status. */
    public static ServerCapacity ofStatus() {
        return new ServerCapacity(
                STATUS_CONNECTIONS,
                heapBytes(STATUS_HEAP_PERCENT),
                STATUS_REQUEST_BYTES,
                1,
                STATUS_RESPONSE_TIMEOUT_MS);
    }
}
