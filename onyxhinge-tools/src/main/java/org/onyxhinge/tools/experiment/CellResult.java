package org.onyxhinge.tools.experiment;

import java.util.List;

import org.onyxhinge.tools.load.TierSummary;

/**
 * What one run measured.
 *
 * @param cell the run
 * @param tiers figures by tier, most important first
 * @param prefillComputedTokens prompt tokens the engine stand-ins worked on
 * @param prefillWastedTokens of those, tokens of requests that delivered no whole answer
 */
record CellResult(Cell cell, List<TierSummary> tiers, long prefillComputedTokens, long prefillWastedTokens) {

    double wastedShare() {
        return prefillComputedTokens == 0 ? 0 : (double) prefillWastedTokens / prefillComputedTokens;
    }
}
