package org.onyxhinge.runtime;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * A latency distribution in microseconds, recorded with HdrHistogram's {@link Recorder} so writers on
 * traffic threads never block the reader. Values up to one hour, three significant digits.
 */
public final class Latency {

    private static final long HIGHEST_US = 3_600_000_000L;
    private static final int DIGITS = 3;

    private final Recorder recorder = new Recorder(HIGHEST_US, DIGITS);
    private final Histogram total = new Histogram(HIGHEST_US, DIGITS);

    /** Creates an empty distribution. */
    public static Latency create() {
        return new Latency();
    }

    /** Records one value in microseconds; values out of range are clamped. */
    public void recordUs(long us) {
        recorder.recordValue(Math.max(0, Math.min(HIGHEST_US, us)));
    }

    /** Everything recorded so far. Safe from one reader thread at a time. */
    public synchronized Histogram snapshot() {
        total.add(recorder.getIntervalHistogram());
        return total.copy();
    }

    /** Count and p50/p95/p99/max in milliseconds, for dumps and reports. */
    public JsonObject summary() {
        Histogram h = snapshot();
        return new JsonObject()
                .put("count", h.getTotalCount())
                .put("p50Ms", h.getValueAtPercentile(50) / 1000.0)
                .put("p95Ms", h.getValueAtPercentile(95) / 1000.0)
                .put("p99Ms", h.getValueAtPercentile(99) / 1000.0)
                .put("maxMs", h.getMaxValue() / 1000.0);
    }
}
