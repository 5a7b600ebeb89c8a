package org.onyxhinge.tools.fleet;

import java.util.List;

/**
 * The result of one simulated run.
 *
 * @param policy name of the policy
 * @param pattern load pattern
 * @param seed random seed
 * @param kinds outcome counts for each kind of request
 * @param maxLoadPerSlot highest number of concurrent requests at an engine, divided by its slots
 * @param limitUsage requests received by each engine that advertised a rate limit
 */
record FleetResult(
        String policy,
        LoadPattern pattern,
        long seed,
        List<KindTally> kinds,
        double maxLoadPerSlot,
        List<LimitUsage> limitUsage) {

    /** Returns the worth earned as a fraction of the worth of answering every request on time. */
    double worth() {
        double earnedWorth = 0;
        double possibleWorth = 0;
        for (KindTally k : kinds) {
            earnedWorth += k.earnedWorth();
            possibleWorth += k.possibleWorth();
        }
        return possibleWorth == 0 ? 1 : earnedWorth / possibleWorth;
    }

    /** Returns the fraction of requests sent after the warm-up that were answered completely, on time or late. */
    double answeredFraction() {
        return fraction(
                kinds.stream().mapToInt(KindTally::answeredAfterWarmUp).sum(),
                kinds.stream().mapToInt(KindTally::askedAfterWarmUp).sum());
    }

    /** Returns the same fraction for the kind of request with the lowest one. */
    double minAnsweredFraction() {
        return kinds.stream()
                .mapToDouble(k -> fraction(k.answeredAfterWarmUp(), k.askedAfterWarmUp()))
                .min()
                .orElse(1);
    }

    private static double fraction(int count, int total) {
        return total == 0 ? 1 : (double) count / total;
    }
}
