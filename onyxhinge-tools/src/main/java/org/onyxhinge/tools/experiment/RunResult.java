package org.onyxhinge.tools.experiment;

import java.util.List;

import org.onyxhinge.tools.load.TierSummary;

/**
 * Measurements of a run.
 *
 * @param spec parameters of the run
 * @param tiers statistics by tier, highest priority first
 * @param prefillComputedTokens prompt tokens computed by the engine stand-ins
 * @param prefillWastedTokens computed prompt tokens of requests without a complete response
 */
record RunResult(RunSpec spec, List<TierSummary> tiers, long prefillComputedTokens, long prefillWastedTokens) {

    double wastedFraction() {
        return prefillComputedTokens == 0 ? 0 : (double) prefillWastedTokens / prefillComputedTokens;
    }
}
