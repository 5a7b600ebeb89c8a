package org.onyxhinge.core.engine;

import java.util.List;

/**
 * The result of one engine step.
 *
 * @param durationMs duration of the step; 0 when the engine is idle
 * @param events requests that emit a stream event: for their first token, a full event or their last token
 * @param ended requests that have finished
 */
public record EngineStep(double durationMs, List<EngineRun> events, List<EngineRun> ended) {

    /** Step of an idle engine. */
    static final EngineStep IDLE = new EngineStep(0, List.of(), List.of());
}
