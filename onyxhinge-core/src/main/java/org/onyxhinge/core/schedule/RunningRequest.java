package org.onyxhinge.core.schedule;

import org.onyxhinge.core.model.RequestSpec;

/**
 * A request that this router has dispatched to an engine and that has not ended.
 *
 * @param spec the request
 * @param engineId the engine that runs it
 * @param dispatchedAtMs when it was dispatched
 * @param nominalFirstTokenMs estimate at dispatch of the time to its first token, at the engine's announced speed
 * @param nominalServiceMs estimate at dispatch of the time to its last token, if all allowed tokens are generated
 * @param firstTokenSeen true once its first token has been received
 */
record RunningRequest(
        RequestSpec spec,
        String engineId,
        long dispatchedAtMs,
        long nominalFirstTokenMs,
        long nominalServiceMs,
        boolean firstTokenSeen) {

    RunningRequest withFirstToken() {
        return new RunningRequest(spec, engineId, dispatchedAtMs, nominalFirstTokenMs, nominalServiceMs, true);
    }

    int rank() {
        return spec.tier().rank();
    }
}
