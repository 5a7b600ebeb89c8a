package org.onyxhinge.tools.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.Message;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.onyxhinge.api.v1.TierSpec;

/**
 * Aggregates the outcomes of a run by tier. A response is in time when its first token arrives within the tier's budget
 * and the complete response within its deadline, both as measured by the driver.
 */
public final class Summary {

    private Summary() {}

    /**
     * Latency limits of a tier, against which responses are checked.
     *
     * @param rank priority of the tier, 0 is the highest
     * @param firstTokenBudgetMs limit of the time to first token
     * @param deadlineMs limit of the time to the complete response
     */
    public record Budget(int rank, long firstTokenBudgetMs, long deadlineMs) {

        private static final Budget NONE = new Budget(Integer.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

        private boolean isMetBy(Outcome o) {
            return o.firstTokenMs() <= firstTokenBudgetMs && o.totalMs() <= deadlineMs;
        }
    }

    /** Returns the budgets of the tiers in a setup file, by tier name. */
    public static Map<String, Budget> budgets(List<Message> setup) {
        Map<String, Budget> out = new TreeMap<>();
        for (Message m : setup) {
            if (m instanceof TierSpec t) {
                out.put(t.getName(), new Budget(t.getRank(), t.getFirstTokenBudgetMs(), t.getDeadlineMs()));
            }
        }
        return out;
    }

    /** Returns a summary per tier, highest priority first. */
    public static List<TierSummary> byTier(List<Outcome> outcomes, Map<String, Budget> budgets) {
        Map<String, List<Outcome>> byTier = new TreeMap<>();
        outcomes.forEach(o ->
                byTier.computeIfAbsent(o.item().tier(), t -> new ArrayList<>()).add(o));
        List<TierSummary> out = new ArrayList<>();
        byTier.forEach((tier, all) -> out.add(summarize(tier, all, budgets.getOrDefault(tier, Budget.NONE))));
        out.sort(Comparator.comparingInt(
                t -> budgets.getOrDefault(t.tier(), Budget.NONE).rank()));
        return out;
    }

    private static TierSummary summarize(String tier, List<Outcome> outcomes, Budget budget) {
        int completeCount = 0;
        int inTime = 0;
        Map<String, Integer> refused = new TreeMap<>();
        Histogram first = TierSummary.histogram();
        Histogram gaps = TierSummary.histogram();
        for (Outcome o : outcomes) {
            if (!o.complete()) {
                refused.merge(o.errorType().isEmpty() ? "status-" + o.status() : o.errorType(), 1, Integer::sum);
                continue;
            }
            completeCount++;
            inTime += budget.isMetBy(o) ? 1 : 0;
            first.recordValue(Math.max(0, o.firstTokenMs()));
            o.gapsMs().forEach(gaps::recordValue);
        }
        return new TierSummary(tier, outcomes.size(), completeCount, inTime, refused, first, gaps);
    }

    /** Formats the summaries as a human-readable table with one line per tier. */
    public static String table(List<TierSummary> tiers) {
        StringBuilder b = new StringBuilder(String.format(
                "%-14s %6s %6s %7s %9s %9s %9s %10s  %s%n",
                "tier", "sent", "whole", "inTime", "ft-p50-ms", "ft-p95-ms", "ft-p99-ms", "gap-p95-ms", "refused"));
        for (TierSummary t : tiers) {
            b.append(String.format(
                    "%-14s %6d %6d %7d %9d %9d %9d %10d  %s%n",
                    t.tier(),
                    t.sent(),
                    t.complete(),
                    t.inTime(),
                    t.firstTokenMs().getValueAtPercentile(50),
                    t.firstTokenMs().getValueAtPercentile(95),
                    t.firstTokenMs().getValueAtPercentile(99),
                    t.gapMs().getValueAtPercentile(95),
                    t.refusedByReason()));
        }
        return b.toString();
    }

    /** Converts the summaries to a JSON object keyed by tier. */
    public static JsonObject toJson(List<TierSummary> tiers) {
        JsonObject out = new JsonObject();
        tiers.forEach(t -> out.put(t.tier(), t.toJson()));
        return out;
    }
}
