package org.onyxhinge.runtime;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * A latency histogram in microseconds. It uses HdrHistogram's {@link Recorder}, so that recording on the
 * traffic threads is not blocked by the reader. Its memory depends on its range and precision only.
 */
public final class LatencyHistogram {

    private static final long MAX_VALUE_US = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private static final long MILLISECOND_US = 1_000;
    private static final long MAX_COARSE_US = 600_000_000L;
    private static final int COARSE_DIGITS = 2;

    private final long maxUs;
    private final Recorder recorder;
    private final Histogram total;

    private LatencyHistogram(long minUs, long maxUs, int digits) {
        this.maxUs = maxUs;
        this.recorder = new Recorder(minUs, maxUs, digits);
        this.total = new Histogram(minUs, maxUs, digits);
    }

    /** Creates an empty histogram for values from 1 us to one hour, with three significant digits. */
    public static LatencyHistogram create() {
        return new LatencyHistogram(1, MAX_VALUE_US, SIGNIFICANT_DIGITS);
    }

    /** Creates an empty histogram of a tenth of the size: for values from 1 ms to ten minutes, with two digits. */
    public static LatencyHistogram ofMilliseconds() {
        return new LatencyHistogram(MILLISECOND_US, MAX_COARSE_US, COARSE_DIGITS);
    }

    /** Records a value in microseconds, clamped to the supported range. */
    public void recordUs(long us) {
        recorder.recordValue(Math.max(0, Math.min(maxUs, us)));
    }

    /** A copy of all values recorded so far. Calls are serialized, so that only one thread reads at a time. */
    public synchronized Histogram snapshot() {
        total.add(recorder.getIntervalHistogram());
        return total.copy();
    }

    /** Count and p50, p95, p99 and maximum in milliseconds, for state dumps and reports. */
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
