package org.onyxhinge.standins.engine;

/**
 * Parameters of an engine stand-in. Engines of different performance differ in these values.
 *
 * @param engineId the engine's id, included in its load report
 * @param maxBatch maximum batch size in sequences; further ones wait in the engine's FIFO queue
 * @param prefillTokensPerSecond prefill throughput in prompt tokens per second, shared by the batch
 * @param decodeTokensPerSecond decode rate per sequence
 * @param cachePrefixes capacity of the LRU prefix cache, in prefixes
 * @param loadLagMs interval at which the load report is refreshed, and so its maximum age
 * @param checksFencing true if the engine itself rejects orders with an outdated fencing token
 */
public record EngineSpec(
        String engineId,
        int maxBatch,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        int cachePrefixes,
        long loadLagMs,
        boolean checksFencing) {}
