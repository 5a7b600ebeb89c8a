package org.onyxhinge.tools.load;

import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * Figures of one tier over one run, as the driver saw them.
 *
 * @param tier the tier
 * @param sent requests sent
 * @param whole answers delivered whole
 * @param inTime of those, with the first token within the tier's budget and the end within its deadline
 * @param refusedByReason the others, by the reason the router gave
 * @param firstTokenMs time to the first token of whole answers
 * @param gapMs time between two pieces of whole answers
 */
public record TierSummary(
        String tier,
        int sent,
        int whole,
        int inTime,
        Map<String, Integer> refusedByReason,
        Histogram firstTokenMs,
        Histogram gapMs) {

    private static final long HIGHEST_MS = 3_600_000;
    private static final int DIGITS = 3;

    /** Copies the map. */
    public TierSummary {
        refusedByReason = new TreeMap<>(refusedByReason);
    }

    static Histogram histogram() {
        return new Histogram(HIGHEST_MS, DIGITS);
    }

    /** Share of the requests sent that were answered whole and in time. */
    public double goodput() {
        return sent == 0 ? 0 : (double) inTime / sent;
    }

    /** As JSON, for reports. */
    public JsonObject toJson() {
        JsonObject refused = new JsonObject();
        refusedByReason.forEach(refused::put);
        return new JsonObject()
                .put("sent", sent)
                .put("whole", whole)
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
