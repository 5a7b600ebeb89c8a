package org.onyxhinge.runtime;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;

import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Limits the rate of log lines with a token bucket; warnings and errors always pass. Dropped lines are counted, and
 * the count is logged before the next line that passes.
 */
final class LogRateLimiter extends ExtHandler {

    private static final double MS_PER_SECOND = 1_000;

    private final Handler next;
    private final LongSupplier clockMs;
    private final double linesPerSecond;
    private final double burst;
    private final AtomicLong dropped = new AtomicLong();
    private double tokens;
    private long refilledAtMs;
    private long unreported;

    /**
     * Creates a rate limiter in front of a handler.
     *
     * @param next handler that receives the lines that pass
     * @param linesPerSecond sustained rate
     * @param burst capacity of the token bucket, in lines
     * @param clockMs monotonic clock in milliseconds
     */
    LogRateLimiter(Handler next, double linesPerSecond, double burst, LongSupplier clockMs) {
        this.next = next;
        this.linesPerSecond = linesPerSecond;
        this.burst = burst;
        this.clockMs = clockMs;
        this.tokens = burst;
        this.refilledAtMs = clockMs.getAsLong();
    }

    /** Number of lines dropped since the start. */
    long dropped() {
        return dropped.get();
    }

    @Override
    protected void doPublish(ExtLogRecord line) {
        long reported = 0;
        synchronized (this) {
            if (!tryTakeToken() && line.getLevel().intValue() < Level.WARNING.intValue()) {
                unreported++;
                dropped.incrementAndGet();
                return;
            }
            reported = unreported;
            unreported = 0;
        }
        if (reported > 0) {
            next.publish(new ExtLogRecord(
                    Level.WARNING, "log lines left out count=" + reported, LogRateLimiter.class.getName()));
        }
        next.publish(line);
    }

    private boolean tryTakeToken() {
        long nowMs = clockMs.getAsLong();
        tokens = Math.min(burst, tokens + (nowMs - refilledAtMs) * linesPerSecond / MS_PER_SECOND);
        refilledAtMs = nowMs;
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
