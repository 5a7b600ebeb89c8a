package org.onyxhinge.core.schedule;

import java.util.List;

/**
 * An engine's load as last observed by its agent. A report is already stale on arrival, so the scheduler relies on its
 * own in-flight accounting first.
 *
 * @param engineId the engine
 * @param running sequences running on the engine, from all routers
 * @param waiting sequences in the engine's own queue
 * @param cachedPrefixes prefix hashes that the engine reported as cached since the last report; may have gaps
 * @param draining true once the target is draining
 */
public record LoadReport(String engineId, int running, int waiting, List<Long> cachedPrefixes, boolean draining) {

    /** Makes a defensive copy of the list. */
    public LoadReport {
        cachedPrefixes = List.copyOf(cachedPrefixes);
    }
}
