package org.onyxhinge.core.place;

/**
 * Running calls of one router on a target, as reported to its peers.
 *
 * @param calls number of calls
 * @param prefillTokens prompt tokens of the calls that have not produced their first event
 */
public record TargetUse(int calls, long prefillTokens) {

    /** Implemented by hand, like that of {@link Target}: it is called for every message between routers. */
    @Override
    public boolean equals(Object o) {
        return o instanceof TargetUse u && calls == u.calls && prefillTokens == u.prefillTokens;
    }

    @Override
    public int hashCode() {
        return calls;
    }
}
