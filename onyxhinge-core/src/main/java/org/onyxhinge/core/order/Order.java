package org.onyxhinge.core.order;

/**
 * An order to a target.
 *
 * @param kind what to do
 * @param argument which model, adapter, version or role
 * @param fencingToken the revision of the lease key its sender held; a newer holder's is larger
 */
public record Order(OrderKind kind, String argument, long fencingToken) {

    /** Rejects an order without an argument or a token. */
    public Order {
        if (argument.isBlank() || fencingToken < 1) {
            throw new IllegalArgumentException("an order needs an argument and a fencing token");
        }
    }
}
