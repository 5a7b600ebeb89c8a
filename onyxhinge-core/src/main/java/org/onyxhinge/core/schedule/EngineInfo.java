package org.onyxhinge.core.schedule;

/**
 * What an agent tells routers about its engine when it joins.
 *
 * @param engineId unique id of the engine
 * @param pool pool it serves
 * @param host address the router dispatches to
 * @param port port the router dispatches to
 * @param maxBatch how many sequences the engine runs at once
 * @param prefillTokensPerSecond prompt tokens it processes per second
 * @param decodeTokensPerSecond tokens it generates per second for one sequence
 * @param checksFencing true when the engine refuses orders with an old fencing number itself
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

    /** Rejects values that would break the estimates. */
    public EngineInfo {
        if (maxBatch < 1 || prefillTokensPerSecond < 1 || decodeTokensPerSecond < 1) {
            throw new IllegalArgumentException("engine " + engineId + " reports non-positive capacity");
        }
    }
}
