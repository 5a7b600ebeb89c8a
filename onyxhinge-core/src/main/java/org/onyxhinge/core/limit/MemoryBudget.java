package org.onyxhinge.core.limit;

/**
 * Bounds the bytes that all exchanges of a router hold together. Small calls may use all of it. Large ones leave a part
 * to them, and the less urgent a large one is, the more it leaves to the more urgent.
 *
 * <p>Not thread-safe.
 */
public final class MemoryBudget {

    /** Size up to which a call counts as small. */
    static final long SMALL_BYTES = 64 << 10;

    /** Part of the budget that large calls of the most urgent rank may use. */
    static final double LARGE_FRACTION = 0.75;

    /** Part of the budget that the large calls of each rank leave to the next more urgent one. */
    static final double RESERVE_PER_RANK = 0.1;

    /** Ranks from this on are treated alike. */
    static final int MAX_RANK = 4;

    private final long totalBytes;
    private long reservedBytes;

    private MemoryBudget(long totalBytes) {
        this.totalBytes = totalBytes;
    }

    /** Creates a budget of which nothing is used. */
    public static MemoryBudget create(long totalBytes) {
        return new MemoryBudget(totalBytes);
    }

    /**
     * Reserves memory, if there is enough.
     *
     * @param bytes number of bytes
     * @param heldBytes number of bytes that the same call has reserved already
     * @param rank urgency of the call, 0 being the most urgent
     */
    public boolean tryReserve(long bytes, long heldBytes, int rank) {
        if (reservedBytes + bytes > usableBytes(bytes + heldBytes, rank)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Whether a number of bytes would still be left to large calls of a rank after a reservation. */
    public boolean leaves(long leftBytes, long bytes, int rank) {
        return reservedBytes + bytes + leftBytes <= usableBytes(Long.MAX_VALUE, rank);
    }

    /** Whether a call of this size counts as small. */
    public static boolean isSmall(long callBytes) {
        return callBytes <= SMALL_BYTES;
    }

    /** Whether a call of this size can ever be held. */
    public boolean fits(long bytes, int rank) {
        return bytes <= usableBytes(bytes, rank);
    }

    private double usableBytes(long callBytes, int rank) {
        if (isSmall(callBytes)) {
            return totalBytes;
        }
        return totalBytes * (LARGE_FRACTION - RESERVE_PER_RANK * Math.min(rank, MAX_RANK));
    }

    /** Returns reserved memory. */
    public void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
