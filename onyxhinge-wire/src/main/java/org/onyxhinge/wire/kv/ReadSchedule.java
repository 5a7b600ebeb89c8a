package org.onyxhinge.wire.kv;

/**
 * Decides when some keys are to be read on their own because the watch may not report their changes in time: once the
 * last confirmation is older than a limit, and the watch is late or somebody waits. A read that is not answered soon is
 * followed by another one, on another connection. All times in ms, by one clock. Confined to one thread.
 */
public final class ReadSchedule {

    /** What the answer to a poll may take beyond its usual time. */
    static final long SLACK_MS = 100;

    /** A store that is not slow has answered by then. */
    static final long UNANSWERED_MS = 250;

    /** Reads that wait for their answers. */
    public static final int MAX_OUTSTANDING = 6;

    /** Between two reads that somebody waits for; less than half of the time for which calls wait. */
    static final long WANTED_INTERVAL_MS = 250;

    /** Reads that are not put off for somebody who waits, since any of them may fail. */
    private static final int WANTED_READS = 3;

    private static final long INITIAL_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 800;

    private final long maxAgeMs;
    private long confirmedAtMs = Long.MIN_VALUE;
    private long watchDueAtMs = Long.MAX_VALUE;
    private boolean watchFailed;
    private int wantedReads;
    private int outstanding;
    private long retryMs = INITIAL_RETRY_MS;
    private long notBeforeMs = Long.MIN_VALUE;
    private long lastSentAtMs = Long.MIN_VALUE / 2;

    private ReadSchedule(long maxAgeMs) {
        this.maxAgeMs = maxAgeMs;
    }

    /** Creates a schedule for a confirmation that is renewed once it is older than {@code maxAgeMs}. */
    public static ReadSchedule renewingAfter(long maxAgeMs) {
        return new ReadSchedule(maxAgeMs);
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

    /** The keys are confirmed as of {@code atMs}, by another way as well. */
    public void confirmed(long atMs) {
        confirmedAtMs = Math.max(confirmedAtMs, atMs);
    }

    /** Age of the last confirmation; -1 if there was none. */
    public long ageMs(long nowMs) {
        return confirmedAtMs == Long.MIN_VALUE ? -1 : nowMs - confirmedAtMs;
    }

    /** Somebody waits for a newer confirmation. */
    public void want() {
        wantedReads = WANTED_READS;
    }

    /** Whether a newer confirmation is needed and the watch may not bring it in time. */
    public boolean isLate(long nowMs) {
        return confirmedAtMs != Long.MIN_VALUE
                && nowMs - confirmedAtMs >= maxAgeMs
                && (wantedReads > 0 || watchFailed || nowMs >= watchDueAtMs);
    }

    /** Whether the keys are to be read now. */
    public boolean isDue(long nowMs) {
        boolean paused = nowMs < notBeforeMs && !(wantedReads > 0 && nowMs - lastSentAtMs >= WANTED_INTERVAL_MS);
        return isLate(nowMs) && !paused && outstanding < MAX_OUTSTANDING;
    }

    /** A read has been sent. */
    public void sent(long nowMs) {
        outstanding++;
        wantedReads = Math.max(0, wantedReads - 1);
        lastSentAtMs = nowMs;
        notBeforeMs = nowMs + UNANSWERED_MS;
    }

    /** The read that was sent at {@code sentAtMs} has confirmed the keys. */
    public void succeeded(long sentAtMs) {
        outstanding--;
        wantedReads = 0;
        retryMs = INITIAL_RETRY_MS;
        confirmed(sentAtMs);
    }

    /**
     * A read has failed or confirmed nothing.
     *
     * @param jitter between 0 and 1; spreads the reads of clients that failed at the same time
     */
    public void failed(long nowMs, double jitter) {
        outstanding--;
        notBeforeMs = nowMs + 1 + (long) (jitter * retryMs);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
}
