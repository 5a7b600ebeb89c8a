package org.onyxhinge.standins.engine;

/**
 * How an engine stand-in behaves. Unlike engines differ in these numbers.
 *
 * @param engineId the engine's id, echoed in its load report
 * @param maxBatch sequences it runs at once; more wait in its own first-come queue
 * @param prefillTokensPerSecond prompt tokens it processes per second, shared by the batch
 * @param decodeTokensPerSecond tokens each sequence gets per second
 * @param cachePrefixes how many prompt prefixes its cache holds, least recently used out first
 * @param loadLagMs how old its published load report is
 * @param checksFencing true when it refuses orders with an old fencing number itself
 */
public record EngineSpec(
        String engineId,
        int maxBatch,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        int cachePrefixes,
        long loadLagMs,
        boolean checksFencing) {}
