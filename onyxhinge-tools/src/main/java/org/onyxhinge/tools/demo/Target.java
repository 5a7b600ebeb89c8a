package org.onyxhinge.tools.demo;

/**
 * One target of a deployment file: a model engine stand-in or a plain service stand-in.
 *
 * @param name target id
 * @param pool pool that the target serves
 * @param plain true for a plain service, false for a model engine
 * @param maxBatch maximum number of concurrent sequences or calls
 * @param prefillTokensPerSecond prefill rate
 * @param decodeTokensPerSecond decode rate of each sequence
 * @param cachePrefixes capacity of the prefix cache, in prefixes
 * @param loadLagMs age of the published load report
 * @param latencyMs service time of a call, for a plain service
 */
public record Target(
        String name,
        String pool,
        boolean plain,
        int maxBatch,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        int cachePrefixes,
        long loadLagMs,
        long latencyMs) {

    /** Returns a copy of this target with the given name. */
    public Target withName(String newName) {
        return new Target(
                newName,
                pool,
                plain,
                maxBatch,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                cachePrefixes,
                loadLagMs,
                latencyMs);
    }
}
