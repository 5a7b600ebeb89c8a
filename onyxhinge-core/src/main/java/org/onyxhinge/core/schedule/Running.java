package org.onyxhinge.core.schedule;

import org.onyxhinge.core.model.RequestSpec;

/**
 * A request this router has handed to an engine and not yet seen finish.
 *
 * @param spec the request
 * @param engineId where it runs
 * @param dispatchedAtMs when it was handed over
 * @param nominalFirstTokenMs time to its first token as estimated then, at the engine's announced speed
 * @param nominalServiceMs time to its last token as estimated then, if it uses all the tokens it may
 * @param firstTokenSeen true once its first token came back
 */
record Running(
        RequestSpec spec,
        String engineId,
        long dispatchedAtMs,
        long nominalFirstTokenMs,
        long nominalServiceMs,
        boolean firstTokenSeen) {

    Running withFirstToken() {
        return new Running(spec, engineId, dispatchedAtMs, nominalFirstTokenMs, nominalServiceMs, true);
    }

    int rank() {
        return spec.tier().rank();
    }
}
