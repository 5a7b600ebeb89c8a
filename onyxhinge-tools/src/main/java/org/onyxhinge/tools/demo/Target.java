package org.onyxhinge.tools.demo;

/**
 * One target of a deployment file: a model engine stand-in or a plain service stand-in.
 *
 * @param name target id
 * @param pool pool it serves
 * @param plain true for a plain service
 * @param maxBatch sequences (or calls) at once
 * @param prefillTokensPerSecond prompt rate
 * @param decodeTokensPerSecond per-sequence token rate
 * @param cachePrefixes prefixes cached
 * @param loadLagMs age of its published load
 * @param latencyMs time per call, for a plain service
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

    /** The same target under another name. */
    public Target named(String other) {
        return new Target(
                other,
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
