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
 * Adds up the outcomes of one run by tier. In time means the first token within the tier's budget and
 * the whole answer within its deadline, both as seen by the driver.
 */
public final class Summary {

    private Summary() {}

    /**
     * What the driver checks an answer against.
     *
     * @param rank the tier's importance, 0 first
     * @param firstTokenBudgetMs first-token budget
     * @param deadlineMs whole-answer deadline
     */
    public record Budget(int rank, long firstTokenBudgetMs, long deadlineMs) {

        private static final Budget NONE = new Budget(Integer.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

        private boolean met(Outcome o) {
            return o.firstTokenMs() <= firstTokenBudgetMs && o.totalMs() <= deadlineMs;
        }
    }

    /** The budgets of the tiers in a setup file. */
    public static Map<String, Budget> budgets(List<Message> setup) {
        Map<String, Budget> out = new TreeMap<>();
        for (Message m : setup) {
            if (m instanceof TierSpec t) {
                out.put(t.getName(), new Budget(t.getRank(), t.getFirstTokenBudgetMs(), t.getDeadlineMs()));
            }
        }
        return out;
    }

    /** Figures by tier, most important tier first. */
    public static List<TierSummary> byTier(List<Outcome> outcomes, Map<String, Budget> budgets) {
        Map<String, List<Outcome>> byTier = new TreeMap<>();
        outcomes.forEach(o ->
                byTier.computeIfAbsent(o.item().tier(), t -> new ArrayList<>()).add(o));
        List<TierSummary> out = new ArrayList<>();
        byTier.forEach((tier, all) -> out.add(tier(tier, all, budgets.getOrDefault(tier, Budget.NONE))));
        out.sort(Comparator.comparingInt(
                t -> budgets.getOrDefault(t.tier(), Budget.NONE).rank()));
        return out;
    }

    private static TierSummary tier(String tier, List<Outcome> outcomes, Budget budget) {
        int whole = 0;
        int inTime = 0;
        Map<String, Integer> refused = new TreeMap<>();
        Histogram first = TierSummary.histogram();
        Histogram gaps = TierSummary.histogram();
        for (Outcome o : outcomes) {
            if (!o.whole()) {
                refused.merge(o.errorType().isEmpty() ? "status-" + o.status() : o.errorType(), 1, Integer::sum);
                continue;
            }
            whole++;
            inTime += budget.met(o) ? 1 : 0;
            first.recordValue(Math.max(0, o.firstTokenMs()));
            o.gapsMs().forEach(gaps::recordValue);
        }
        return new TierSummary(tier, outcomes.size(), whole, inTime, refused, first, gaps);
    }

    /** A table for people, one line per tier. */
    public static String table(List<TierSummary> tiers) {
        StringBuilder b = new StringBuilder(String.format(
                "%-14s %6s %6s %7s %9s %9s %9s %10s  %s%n",
                "tier", "sent", "whole", "inTime", "ft-p50-ms", "ft-p95-ms", "ft-p99-ms", "gap-p95-ms", "refused"));
        for (TierSummary t : tiers) {
            b.append(String.format(
                    "%-14s %6d %6d %7d %9d %9d %9d %10d  %s%n",
                    t.tier(),
                    t.sent(),
                    t.whole(),
                    t.inTime(),
                    t.firstTokenMs().getValueAtPercentile(50),
                    t.firstTokenMs().getValueAtPercentile(95),
                    t.firstTokenMs().getValueAtPercentile(99),
                    t.gapMs().getValueAtPercentile(95),
                    t.refusedByReason()));
        }
        return b.toString();
    }

    /** Figures by tier as JSON. */
    public static JsonObject toJson(List<TierSummary> tiers) {
        JsonObject out = new JsonObject();
        tiers.forEach(t -> out.put(t.tier(), t.toJson()));
        return out;
    }
}
