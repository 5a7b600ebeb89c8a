package org.onyxhinge.core.schedule;

import org.onyxhinge.core.model.RequestSpec;

/**
 * A request this router has dispatched and not yet seen finish.
 *
 * @param spec the request
 * @param engineId where it runs
 * @param dispatchedAtMs when it was dispatched
 * @param firstTokenSeen true once its first token came back
 */
record Running(RequestSpec spec, String engineId, long dispatchedAtMs, boolean firstTokenSeen) {

    Running withFirstToken() {
        return new Running(spec, engineId, dispatchedAtMs, true);
    }

    int rank() {
        return spec.tier().rank();
    }
}
