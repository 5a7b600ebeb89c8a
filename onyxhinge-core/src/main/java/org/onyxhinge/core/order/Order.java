package org.onyxhinge.core.order;

/**
 * An order to a target.
 *
 * @param kind the operation
 * @param argument the model, adapter, version or role
 * @param fencingToken the revision of the lease key that the sender held; a newer holder's token is larger
 */
public record Order(OrderKind kind, String argument, long fencingToken) {

    /** Rejects an order without an argument or a fencing token. */
    public Order {
        if (argument.isBlank() || fencingToken < 1) {
            throw new IllegalArgumentException("an order needs an argument and a fencing token");
        }
    }
}
