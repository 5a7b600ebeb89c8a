package org.onyxhinge.core.schedule;

/**
 * The description of an engine that its agent sends to routers on joining.
 *
 * @param engineId unique id of the engine
 * @param pool pool that the engine serves
 * @param host address that routers dispatch to
 * @param port port that routers dispatch to
 * @param maxBatch maximum number of sequences in a batch
 * @param prefillTokensPerSecond prefill rate in prompt tokens per second
 * @param decodeTokensPerSecond decode rate of one sequence in tokens per second
 * @param checksFencing true when the engine itself rejects orders with an outdated fencing token
 */
public record EngineInfo(
        String engineId,
        String pool,
        String host,
        int port,
        int maxBatch,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        boolean checksFencing) {

    /** Rejects non-positive capacities, which would invalidate the time estimates. */
    public EngineInfo {
        if (maxBatch < 1 || prefillTokensPerSecond < 1 || decodeTokensPerSecond < 1) {
            throw new IllegalArgumentException("engine " + engineId + " reports non-positive capacity");
        }
    }
}
