package org.onyxhinge.core.engine;

/**
 * Speed and capacity of an engine.
 *
 * @param slots maximum requests in a batch
 * @param queueLimit maximum requests waiting beyond those
 * @param stepMs duration of a decode step with a single request
 * @param stepMsPerRun additional step duration for each further request in the batch
 * @param prefillTokensPerMs prefill rate in prompt tokens per millisecond
 * @param chunkTokens maximum prompt tokens prefilled in one step, so that long prompts do not stall the other requests
 * @param tokensPerEvent output tokens per stream event
 * @param memoryTokens memory capacity in tokens, shared by running requests and cached prompt parts
 */
public record EngineSpec(
        int slots,
        int queueLimit,
        double stepMs,
        double stepMsPerRun,
        double prefillTokensPerMs,
        int chunkTokens,
        int tokensPerEvent,
        long memoryTokens) {

    /** Checks the ranges; throws {@link IllegalArgumentException} naming the bad field. */
    public EngineSpec {
        require(slots > 0, "slots");
        require(queueLimit >= 0, "queueLimit");
        require(stepMs > 0, "stepMs");
        require(stepMsPerRun >= 0, "stepMsPerRun");
        require(prefillTokensPerMs > 0, "prefillTokensPerMs");
        require(chunkTokens > 0, "chunkTokens");
        require(tokensPerEvent > 0, "tokensPerEvent");
        require(memoryTokens > 0, "memoryTokens");
    }

    private static void require(boolean ok, String field) {
        if (!ok) {
            throw new IllegalArgumentException("engine " + field + " is out of range");
        }
    }

    /** The same engine slowed down by {@code factor} in all operations. */
    public EngineSpec slower(double factor) {
        return new EngineSpec(
                slots,
                queueLimit,
                stepMs * factor,
                stepMsPerRun * factor,
                prefillTokensPerMs / factor,
                chunkTokens,
                tokensPerEvent,
                memoryTokens);
    }
}
