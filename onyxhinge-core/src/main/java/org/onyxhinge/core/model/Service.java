package org.onyxhinge.core.model;

/**
 * A service that callers name in their requests, served by one pool of targets.
 *
 * @param name the name that callers send as {@code model}
 * @param kind model engine or plain service
 * @param pool the pool whose targets serve it
 * @param nonIdempotent true when a call must run at most once (a print instruction, a published forecast)
 */
public record Service(String name, ServiceKind kind, String pool, boolean nonIdempotent) {

    /** Checks the names; throws {@link IllegalArgumentException} naming the bad field. */
    public Service {
        Checks.name("service", name);
        Checks.name("pool", pool);
        if (kind == null) {
            throw new IllegalArgumentException("service kind must be MODEL or PLAIN");
        }
    }
}
