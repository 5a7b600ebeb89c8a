package org.onyxhinge.tools.fleet;

import java.util.List;

/**
 * What came of one simulated run.
 *
 * @param policy its policy's name
 * @param pattern its load
 * @param seed its seed
 * @param kinds what became of each kind of request
 * @param mostAtOnce most requests an engine had at once, against its slots
 * @param limitsUsed what each engine got that named a rate limit
 */
record FleetResult(
        String policy,
        LoadPattern pattern,
        long seed,
        List<KindTally> kinds,
        double mostAtOnce,
        List<LimitUse> limitsUsed) {

    /** What was earned of what all requests on time would have earned. */
    double worth() {
        double earned = 0;
        double owed = 0;
        for (KindTally k : kinds) {
            earned += k.earned();
            owed += k.owed();
        }
        return owed == 0 ? 1 : earned / owed;
    }

    /** Part of all requests that was answered whole, on time or late, once the engines had filled up. */
    double answeredPart() {
        return part(
                kinds.stream().mapToInt(KindTally::settledAnswered).sum(),
                kinds.stream().mapToInt(KindTally::settledAsked).sum());
    }

    /** The same of the kind that was answered least often. */
    double leastAnsweredPart() {
        return kinds.stream()
                .mapToDouble(k -> part(k.settledAnswered(), k.settledAsked()))
                .min()
                .orElse(1);
    }

    private static double part(int some, int all) {
        return all == 0 ? 1 : (double) some / all;
    }
}
