package org.onyxhinge.runtime;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;

import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Bounds how many lines a process writes: a token bucket, warnings and errors always pass. What is left out is
 * counted, and the count is written once lines pass again.
 */
final class LogLimit extends ExtHandler {

    private static final double MS_PER_SECOND = 1_000;

    private final Handler next;
    private final LongSupplier clockMs;
    private final double linesPerSecond;
    private final double burst;
    private final AtomicLong dropped = new AtomicLong();
    private double tokens;
    private long filledAtMs;
    private long untold;

    /**
     * Creates a limit.
     *
     * @param linesPerSecond lines that may be written in the long run
     * @param burst lines that may be written at once beside them
     */
    LogLimit(Handler next, double linesPerSecond, double burst, LongSupplier clockMs) {
        this.next = next;
        this.linesPerSecond = linesPerSecond;
        this.burst = burst;
        this.clockMs = clockMs;
        this.tokens = burst;
        this.filledAtMs = clockMs.getAsLong();
    }

    /** Lines left out since the start. */
    long dropped() {
        return dropped.get();
    }

    @Override
    protected void doPublish(ExtLogRecord line) {
        long told = 0;
        synchronized (this) {
            if (!take() && line.getLevel().intValue() < Level.WARNING.intValue()) {
                untold++;
                dropped.incrementAndGet();
                return;
            }
            told = untold;
            untold = 0;
        }
        if (told > 0) {
            next.publish(new ExtLogRecord(Level.WARNING, "log lines left out count=" + told, LogLimit.class.getName()));
        }
        next.publish(line);
    }

    private boolean take() {
        long nowMs = clockMs.getAsLong();
        tokens = Math.min(burst, tokens + (nowMs - filledAtMs) * linesPerSecond / MS_PER_SECOND);
        filledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    @Override
    public void flush() {
        next.flush();
    }

    @Override
    public void close() {
        next.close();
    }
}
