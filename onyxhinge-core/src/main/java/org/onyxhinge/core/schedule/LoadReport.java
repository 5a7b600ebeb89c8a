package org.onyxhinge.core.schedule;

import java.util.List;

/**
 * An engine's load as its agent last saw it. Already stale on arrival; the scheduler trusts its own
 * in-flight accounting first.
 *
 * @param engineId the engine
 * @param running sequences the engine runs, from all routers
 * @param waiting sequences the engine holds in its own queue
 * @param cachedPrefixes prefix hashes the engine reported cached since the last report; may have gaps
 * @param draining true once the target is leaving
 */
public record LoadReport(String engineId, int running, int waiting, List<Long> cachedPrefixes, boolean draining) {

    /** Copies the list. */
    public LoadReport {
        cachedPrefixes = List.copyOf(cachedPrefixes);
    }
}
