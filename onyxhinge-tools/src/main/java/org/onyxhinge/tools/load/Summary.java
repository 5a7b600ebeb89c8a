package org.onyxhinge.tools.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * Figures of one run by tier: sent, delivered whole, in time, refused by reason, and first-token
 * latency percentiles (HdrHistogram). In time means the first token within the tier's budget and the
 * whole answer within its deadline, both as seen by the driver.
 */
public final class Summary {

    private static final long HIGHEST_MS = 3_600_000;

    private Summary() {}

    /**
     * The budgets of one tier, as the driver checks them.
     *
     * @param firstTokenBudgetMs first-token budget
     * @param deadlineMs whole-answer deadline
     */
    public record Budget(long firstTokenBudgetMs, long deadlineMs) {}

    /** Figures by tier as JSON. */
    public static JsonObject byTier(List<Outcome> outcomes, Map<String, Budget> budgets) {
        Map<String, JsonObject> tiers = new TreeMap<>();
        Map<String, Histogram> first = new TreeMap<>();
        for (Outcome o : outcomes) {
            String tier = o.item().tier();
            JsonObject t = tiers.computeIfAbsent(
                    tier,
                    k -> new JsonObject()
                            .put("sent", 0)
                            .put("whole", 0)
                            .put("inTime", 0)
                            .put("refused", new JsonObject()));
            t.put("sent", t.getInteger("sent") + 1);
            if (o.whole()) {
                t.put("whole", t.getInteger("whole") + 1);
                Budget b = budgets.getOrDefault(tier, new Budget(Long.MAX_VALUE, Long.MAX_VALUE));
                if (o.firstTokenMs() <= b.firstTokenBudgetMs() && o.totalMs() <= b.deadlineMs()) {
                    t.put("inTime", t.getInteger("inTime") + 1);
                }
                first.computeIfAbsent(tier, k -> new Histogram(HIGHEST_MS, 3))
                        .recordValue(Math.max(0, o.firstTokenMs()));
            } else {
                JsonObject refused = t.getJsonObject("refused");
                String why = o.errorType().isEmpty() ? "status-" + o.status() : o.errorType();
                refused.put(why, refused.getInteger(why, 0) + 1);
            }
        }
        JsonObject out = new JsonObject();
        tiers.forEach((tier, t) -> {
            Histogram h = first.get(tier);
            if (h != null) {
                t.put("firstTokenP50Ms", h.getValueAtPercentile(50)).put("firstTokenP99Ms", h.getValueAtPercentile(99));
            }
            out.put(tier, t);
        });
        return out;
    }

    /** A table for people, one line per tier. */
    public static String table(JsonObject byTier) {
        StringBuilder b = new StringBuilder(String.format(
                "%-14s %6s %6s %7s %10s %10s  %s%n",
                "tier", "sent", "whole", "inTime", "ft-p50-ms", "ft-p99-ms", "refused"));
        for (String tier : byTier.fieldNames().stream().sorted().toList()) {
            JsonObject t = byTier.getJsonObject(tier);
            b.append(String.format(
                    "%-14s %6d %6d %7d %10d %10d  %s%n",
                    tier,
                    t.getInteger("sent"),
                    t.getInteger("whole"),
                    t.getInteger("inTime"),
                    t.getLong("firstTokenP50Ms", -1L),
                    t.getLong("firstTokenP99Ms", -1L),
                    t.getJsonObject("refused").encode()));
        }
        return b.toString();
    }
}
