package org.onyxhinge.wire.kv;

/**
 * Decides when a key is to be read on its own because the watch may not report its changes in time: once the last
 * confirmation is older than a limit, and the watch is late or somebody waits. One read at a time. All times in ms, by
 * one clock. Confined to one thread.
 */
public final class KeyReadSchedule {

    /** What the answer to a poll may take beyond its usual time. */
    static final long SLACK_MS = 100;

    private static final long INITIAL_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 800;

    private final long maxAgeMs;
    private long confirmedAtMs = Long.MIN_VALUE;
    private long watchDueAtMs = Long.MAX_VALUE;
    private boolean watchFailed;
    private boolean wanted;
    private boolean outstanding;
    private long retryMs = INITIAL_RETRY_MS;
    private long notBeforeMs = Long.MIN_VALUE;

    private KeyReadSchedule(long maxAgeMs) {
        this.maxAgeMs = maxAgeMs;
    }

    /** Creates a schedule for a confirmation that is renewed once it is older than {@code maxAgeMs}. */
    public static KeyReadSchedule renewingAfter(long maxAgeMs) {
        return new KeyReadSchedule(maxAgeMs);
    }

    /** The watch has asked for changes; the answer usually follows within {@code usualMs}. */
    public void watchAsked(long nowMs, long usualMs) {
        watchDueAtMs = nowMs + usualMs + SLACK_MS;
    }

    /** The watch has got an answer to what it asked at {@code sentAtMs}, and asks again within {@code pauseMs}. */
    public void watchAnswered(long nowMs, long pauseMs, long sentAtMs) {
        watchFailed = false;
        watchDueAtMs = nowMs + pauseMs + SLACK_MS;
        confirmed(sentAtMs);
    }

    /** The watch has failed to get an answer, and asks again. */
    public void watchFailed() {
        watchFailed = true;
    }

    private void confirmed(long sentAtMs) {
        confirmedAtMs = Math.max(confirmedAtMs, sentAtMs);
    }

    /** Somebody waits for a newer confirmation. */
    public void want() {
        wanted = true;
    }

    /** Whether the key is to be read now. */
    public boolean isDue(long nowMs) {
        return confirmedAtMs != Long.MIN_VALUE
                && !outstanding
                && nowMs >= notBeforeMs
                && nowMs - confirmedAtMs >= maxAgeMs
                && (wanted || watchFailed || nowMs >= watchDueAtMs);
    }

    /** The read has been sent. */
    public void sent() {
        outstanding = true;
        wanted = false;
    }

    /** The read that was sent at {@code sentAtMs} has confirmed the key. */
    public void succeeded(long sentAtMs) {
        outstanding = false;
        retryMs = INITIAL_RETRY_MS;
        confirmed(sentAtMs);
    }

    /**
     * The read has failed or confirmed nothing.
     *
     * @param jitter between 0 and 1; spreads the reads of clients that failed at the same time
     */
    public void failed(long nowMs, double jitter) {
        outstanding = false;
        notBeforeMs = nowMs + 1 + (long) (jitter * retryMs);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
}
