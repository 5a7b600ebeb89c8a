package org.onyxhinge.core.place;

/**
 * A target as described by the registry.
 *
 * @param id its unique name in the registry, also used by the target itself
 * @param startedAtMs start time of the target in epoch milliseconds, by its own clock; 0 if not reported. A target
 *     may restart under the same id and then has none of its previous state
 * @param service the service it belongs to
 * @param version version of its software; empty if not reported
 * @param host address
 * @param port port
 * @param dataCentre data centre it runs in
 * @param slots number of requests it runs concurrently
 * @param ready false once it is draining
 * @param coldLeftMs remaining time for which it is slow after its start
 */
public record Target(
        String id,
        long startedAtMs,
        String service,
        String version,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean ready,
        long coldLeftMs) {

    /** Validates the ranges; throws {@link IllegalArgumentException} naming the invalid field. */
    public Target {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("target " + id + ": bad port " + port);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("target " + id + ": slots must be positive: " + slots);
        }
    }

    /** Identifies this start of the target among all targets ever registered. */
    public String incarnation() {
        return startedAtMs == 0 ? id : id + "@" + startedAtMs;
    }

    /**
     * Implemented by hand: the generated method is linked by method handles, which costs 17 ms when a router starts.
     */
    @Override
    public boolean equals(Object o) {
        return o instanceof Target t
                && id.equals(t.id)
                && startedAtMs == t.startedAtMs
                && service.equals(t.service)
                && version.equals(t.version)
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
