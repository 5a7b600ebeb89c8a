package org.onyxhinge.core.place;

/**
 * What one router has running on a target, as it tells its peers.
 *
 * @param calls its calls there
 * @param prefillTokens prompt tokens of those that have not had their first event
 */
public record TargetUse(int calls, long prefillTokens) {

    /** Written out, as that of {@link Target} is: it is asked for in each message between routers. */
    @Override
    public boolean equals(Object o) {
        return o instanceof TargetUse u && calls == u.calls && prefillTokens == u.prefillTokens;
    }

    @Override
    public int hashCode() {
        return calls;
    }
}
