package org.onyxhinge.core.admit;

/**
 * What a connection of a client holds, and how it progresses. Confined to one thread; times are milliseconds of one
 * monotonic clock.
 */
public final class ClientConnection {

    /** A body or response that moves more slowly is stalled. */
    static final long MIN_BYTES_PER_SECOND = 1_024;

    /** Time without progress after which a body or response is stalled. */
    static final long STALL_MS = 1_000;

    /** Most time that one sample counts for: the process may have been paused between two. */
    static final long MAX_SAMPLE_MS = 200;

    private static final long MS_PER_SECOND = 1_000;

    private ConnectionPhase phase = new ConnectionPhase.Idle();
    private long phaseSinceMs;
    private long heldBytes;
    private long phaseBytes;
    private long sampledBytes;
    private long sampledAtMs;
    private long quietMs;
    private long silentMs;
    private int requests;

    private ClientConnection(long nowMs) {
        phaseSinceMs = nowMs;
        sampledAtMs = nowMs;
    }

    /** Creates a connection that has just been accepted. */
    public static ClientConnection accepted(long nowMs) {
        return new ClientConnection(nowMs);
    }

    /** Begins a phase. */
    public void enter(ConnectionPhase next, long nowMs) {
        phase = next;
        phaseSinceMs = nowMs;
        phaseBytes = 0;
        sampledBytes = 0;
        sampledAtMs = nowMs;
        quietMs = 0;
        silentMs = 0;
    }

    /** Records that a response has been taken by the client. */
    public void served() {
        requests++;
    }

    /** Records bytes of the body or response that have moved. */
    public void progressed(long bytes) {
        phaseBytes += bytes;
    }

    /** Changes the memory that is held for the connection. */
    public void held(long changeBytes) {
        heldBytes += changeBytes;
    }

    /**
     * Compares the progress since the last sample with the slowest that is no stall.
     *
     * @param awaited whether the client is to progress; what waits for this process is no stall
     */
    public void sample(boolean awaited, long nowMs) {
        long elapsedMs = Math.min(MAX_SAMPLE_MS, nowMs - sampledAtMs);
        long movedBytes = phaseBytes - sampledBytes;
        boolean moves = movedBytes * MS_PER_SECOND >= MIN_BYTES_PER_SECOND * elapsedMs;
        quietMs = awaited && !moves ? quietMs + elapsedMs : 0;
        silentMs = awaited && movedBytes == 0 ? silentMs + elapsedMs : 0;
        sampledBytes = phaseBytes;
        sampledAtMs = nowMs;
    }

    /** Whether its body or response has not progressed for some time. */
    public boolean isStalled() {
        return quietMs >= STALL_MS;
    }

    /** How long nothing of its body or response has moved, in ms. */
    public long silentMs() {
        return silentMs;
    }

    public ConnectionPhase phase() {
        return phase;
    }

    /** How long its phase has lasted, in ms. */
    public long phaseMs(long nowMs) {
        return nowMs - phaseSinceMs;
    }

    /** When its phase began. */
    public long phaseSinceMs() {
        return phaseSinceMs;
    }

    /** Memory held for it. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Memory held for it, and bytes of the current body, which others may hold. */
    public long weightBytes() {
        return heldBytes + phaseBytes;
    }

    /** Whether the client has taken a response on it. */
    public boolean hasServed() {
        return requests > 0;
    }
}
