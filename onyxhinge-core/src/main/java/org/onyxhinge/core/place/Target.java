package org.onyxhinge.core.place;

/**
 * A target as the registry describes it.
 *
 * @param id this start of the target; a restart has another
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
}
