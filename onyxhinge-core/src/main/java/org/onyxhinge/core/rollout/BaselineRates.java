package org.onyxhinge.core.rollout;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent rates of bad answers of the versions in use. Only the last seconds count, so that trouble which meets all
 * versions at once raises the rate that the version on trial is compared with.
 */
final class BaselineRates {

    private static final long WINDOW_MS = 5_000;

    /** Trouble that has just begun shows in the last part of the window first. */
    private static final long SHORT_WINDOW_MS = 1_000;

    private static final long SNAPSHOT_INTERVAL_MS = 250;

    /** Answers that are assumed before any was counted, one of them bad. */
    private static final double PRIOR_ANSWERS = 20;

    private static final double MIN_RATE = 0.02;
    private static final double MAX_RATE = 0.7;

    /** A target with fewer recent answers says too little about the differences between targets. */
    private static final long MIN_TARGET_ANSWERS = 8;

    /**
     * Trouble can be limited to a part of the targets, by chance most of those on trial. They are therefore compared
     * with the worse targets of the versions in use.
     */
    private static final double TARGET_QUANTILE = 0.75;

    private record Snapshot(long atMs, Map<String, AnswerCount> byRoute, Map<String, AnswerCount> byTarget) {}

    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final Map<String, Double> highestByRoute = new HashMap<>();
    private Snapshot latest = new Snapshot(0, Map.of(), Map.of());
    private double worseTargetsRate;

    /** Updates the rates from the counts of all routers. */
    void update(Map<AnswerCell, AnswerCount> totals, long nowMs) {
        Map<String, AnswerCount> byRoute = new HashMap<>();
        Map<String, AnswerCount> byTarget = new HashMap<>();
        totals.forEach((cell, count) -> {
            if (!cell.trial()) {
                byRoute.merge(cell.route(), count, AnswerCount::plus);
                byTarget.merge(cell.target(), count, AnswerCount::plus);
            }
        });
        latest = new Snapshot(nowMs, byRoute, byTarget);
        if (snapshots.isEmpty() || nowMs - snapshots.getLast().atMs() >= SNAPSHOT_INTERVAL_MS) {
            snapshots.addLast(latest);
        }
        while (nowMs - snapshots.getFirst().atMs() > WINDOW_MS) {
            snapshots.removeFirst();
        }
        worseTargetsRate = worseTargetsRate();
        byRoute.keySet().forEach(route -> highestByRoute.merge(route, rate(route), Math::max));
    }

    private double worseTargetsRate() {
        Map<String, AnswerCount> before = snapshots.getFirst().byTarget();
        double[] rates = latest.byTarget().entrySet().stream()
                .map(e -> e.getValue().minus(before.getOrDefault(e.getKey(), AnswerCount.NONE)))
                .filter(c -> c.answers() >= MIN_TARGET_ANSWERS)
                .mapToDouble(c -> (double) c.bad() / c.answers())
                .toArray();
        Arrays.sort(rates);
        return rates.length == 0 ? 0 : rates[(int) (TARGET_QUANTILE * (rates.length - 1))];
    }

    /** Fraction of the answers on a route that are bad without the fault of the version on trial. */
    double rate(String route) {
        double ofRoute = Math.max(rateSince(route, WINDOW_MS), rateSince(route, SHORT_WINDOW_MS));
        return Math.max(MIN_RATE, Math.min(MAX_RATE, Math.max(ofRoute, worseTargetsRate)));
    }

    /** The highest {@link #rate} of a route so far. */
    double highestRate(String route) {
        return highestByRoute.getOrDefault(route, MIN_RATE);
    }

    private double rateSince(String route, long windowMs) {
        AnswerCount before = snapshots.stream()
                .filter(s -> latest.atMs() - s.atMs() <= windowMs)
                .findFirst()
                .map(s -> s.byRoute().getOrDefault(route, AnswerCount.NONE))
                .orElse(AnswerCount.NONE);
        AnswerCount recent =
                latest.byRoute().getOrDefault(route, AnswerCount.NONE).minus(before);
        return (recent.bad() + 1) / (recent.answers() + PRIOR_ANSWERS);
    }
}
