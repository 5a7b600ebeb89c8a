package org.onyxhinge.core.place;

/**
 * A target as the registry describes it.
 *
 * @param id its name in the registry and towards itself
 * @param startedAtMs when it started, in ms of the epoch, by its own clock; 0 where it does not say. A target may
 *     start again under its id and then holds nothing of what it had before
 * @param service the service it belongs to
 * @param host address
 * @param port port
 * @param dataCentre where it runs
 * @param slots requests it runs at once
 * @param ready false once it is leaving
 * @param coldLeftMs how much longer it is slow after its start
 */
public record Target(
        String id,
        long startedAtMs,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean ready,
        long coldLeftMs) {

    /** Checks the ranges; throws {@link IllegalArgumentException} naming the bad field. */
    public Target {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("target " + id + ": bad port " + port);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("target " + id + ": slots must be positive: " + slots);
        }
    }

    /** This start of the target, among all targets ever registered. */
    public String incarnation() {
        return startedAtMs == 0 ? id : id + "@" + startedAtMs;
    }

    /** Written out: what the compiler would make links itself by method handles, 17 ms of a starting router. */
    @Override
    public boolean equals(Object o) {
        return o instanceof Target t
                && id.equals(t.id)
                && startedAtMs == t.startedAtMs
                && service.equals(t.service)
                && host.equals(t.host)
                && port == t.port
                && dataCentre.equals(t.dataCentre)
                && slots == t.slots
                && ready == t.ready
                && coldLeftMs == t.coldLeftMs;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
