package org.onyxhinge.tools.load;

import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * Statistics of a tier over a run, as measured by the driver.
 *
 * @param tier tier name
 * @param sent number of requests sent
 * @param complete number of complete responses
 * @param inTime number of complete responses within the tier's first-token budget and deadline
 * @param refusedByReason number of requests without a complete response, by error type or HTTP status
 * @param firstTokenMs time to first token of complete responses
 * @param gapMs inter-token latency of complete responses
 */
public record TierSummary(
        String tier,
        int sent,
        int complete,
        int inTime,
        Map<String, Integer> refusedByReason,
        Histogram firstTokenMs,
        Histogram gapMs) {

    private static final long MAX_TRACKABLE_MS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    public TierSummary {
        refusedByReason = new TreeMap<>(refusedByReason);
    }

    static Histogram histogram() {
        return new Histogram(MAX_TRACKABLE_MS, SIGNIFICANT_DIGITS);
    }

    /** Returns the fraction of the requests sent that had a complete response in time. */
    public double goodput() {
        return sent == 0 ? 0 : (double) inTime / sent;
    }

    /** Converts the statistics to the JSON object used in reports. */
    public JsonObject toJson() {
        JsonObject refused = new JsonObject();
        refusedByReason.forEach(refused::put);
        return new JsonObject()
                .put("sent", sent)
                .put("whole", complete)
                .put("inTime", inTime)
                .put("refused", refused)
                .put("firstTokenP50Ms", firstTokenMs.getValueAtPercentile(50))
                .put("firstTokenP95Ms", firstTokenMs.getValueAtPercentile(95))
                .put("firstTokenP99Ms", firstTokenMs.getValueAtPercentile(99))
                .put("gapP50Ms", gapMs.getValueAtPercentile(50))
                .put("gapP95Ms", gapMs.getValueAtPercentile(95))
                .put("gapP99Ms", gapMs.getValueAtPercentile(99));
    }
}
