package org.onyxhinge.tools.fleet;

import java.util.List;
import java.util.Locale;

/**
 * Summary of the runs of one policy under one load pattern, with different seeds.
 *
 * @param policy name of the policy
 * @param pattern load pattern
 * @param worth mean fraction of the worth earned
 * @param minWorth lowest fraction of the worth earned over all seeds
 * @param onTimeByKind fraction of each kind answered on time
 * @param lateFraction fraction of all requests answered late
 * @param refusedFraction fraction of all requests refused without a further retry
 * @param refusalWaitMs mean time a refused attempt had waited
 * @param answeredFraction mean fraction of the requests sent after the warm-up that were answered completely, on time
 *     or late
 * @param minAnsweredFraction the same for the kind with the lowest fraction, lowest over all seeds
 * @param minLargeOnTimeFraction fraction of the large requests answered on time, for the kind with the lowest fraction
 * @param minLargeAnsweredRatio answered fraction of large requests divided by that of all requests, for the kind with
 *     the lowest ratio over all seeds
 * @param maxLoadPerSlot highest number of concurrent requests at an engine, divided by its slots
 */
record FleetSummary(
        String policy,
        LoadPattern pattern,
        double worth,
        double minWorth,
        List<KindFraction> onTimeByKind,
        double lateFraction,
        double refusedFraction,
        double refusalWaitMs,
        double answeredFraction,
        double minAnsweredFraction,
        double minLargeOnTimeFraction,
        double minLargeAnsweredRatio,
        double maxLoadPerSlot) {

    private static final double PERCENT = 100;

    /**
     * Fraction of the requests of one kind.
     *
     * @param kind name of the kind
     * @param fraction fraction from 0 to 1
     */
    record KindFraction(String kind, double fraction) {}

    static FleetSummary of(List<FleetResult> runs) {
        FleetResult first = runs.getFirst();
        int asked = 0;
        int late = 0;
        int refused = 0;
        int refusals = 0;
        double refusalWaitMs = 0;
        for (FleetResult r : runs) {
            for (KindTally k : r.kinds()) {
                asked += k.asked();
                late += k.late();
                refused += k.refused();
                refusals += k.refusals();
                refusalWaitMs += k.refusalWaitMs();
            }
        }
        List<KindFraction> kinds = first.kinds().stream()
                .map(k -> new KindFraction(k.kind().name(), onTimeFraction(runs, k.kind())))
                .toList();
        return new FleetSummary(
                first.policy(),
                first.pattern(),
                runs.stream().mapToDouble(FleetResult::worth).average().orElse(0),
                runs.stream().mapToDouble(FleetResult::worth).min().orElse(0),
                kinds,
                (double) late / Math.max(1, asked),
                (double) refused / Math.max(1, asked),
                refusalWaitMs / Math.max(1, refusals),
                runs.stream()
                        .mapToDouble(FleetResult::answeredFraction)
                        .average()
                        .orElse(1),
                runs.stream()
                        .mapToDouble(FleetResult::minAnsweredFraction)
                        .min()
                        .orElse(1),
                minLargeOnTime(runs),
                runs.stream()
                        .flatMap(r -> r.kinds().stream())
                        .mapToDouble(KindTally::largeAnsweredRatio)
                        .min()
                        .orElse(1),
                runs.stream().mapToDouble(FleetResult::maxLoadPerSlot).max().orElse(0));
    }

    private static double minLargeOnTime(List<FleetResult> runs) {
        double min = 1;
        for (int kind = 0; kind < runs.getFirst().kinds().size(); kind++) {
            double sum = 0;
            for (FleetResult r : runs) {
                sum += r.kinds().get(kind).largeOnTimeFraction();
            }
            min = Math.min(min, sum / runs.size());
        }
        return min;
    }

    private static double onTimeFraction(List<FleetResult> runs, RequestKind kind) {
        int asked = 0;
        int onTime = 0;
        for (FleetResult r : runs) {
            for (KindTally k : r.kinds()) {
                if (k.kind().equals(kind)) {
                    asked += k.asked();
                    onTime += k.onTime();
                }
            }
        }
        return (double) onTime / Math.max(1, asked);
    }

    /** Formats the summary as one line of the table. */
    String formatLine() {
        StringBuilder kinds = new StringBuilder();
        onTimeByKind.forEach(
                k -> kinds.append(String.format(Locale.ROOT, " %s=%.1f%%", k.kind(), PERCENT * k.fraction())));
        return String.format(
                Locale.ROOT,
                "%-14s %-18s worth=%.1f%% worst=%.1f%% late=%.1f%% refused=%.1f%% held=%.0fms answered=%.1f%%"
                        + " least_answered=%.1f%% large=%.1f%% large_share=%.2f"
                        + " most_at_once=%.2f on time:%s",
                pattern.label(),
                policy,
                PERCENT * worth,
                PERCENT * minWorth,
                PERCENT * lateFraction,
                PERCENT * refusedFraction,
                refusalWaitMs,
                PERCENT * answeredFraction,
                PERCENT * minAnsweredFraction,
                PERCENT * minLargeOnTimeFraction,
                minLargeAnsweredRatio,
                maxLoadPerSlot,
                kinds);
    }
}
