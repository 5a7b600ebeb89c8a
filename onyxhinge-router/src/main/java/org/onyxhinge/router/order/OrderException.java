package org.onyxhinge.router.order;

/** An order that was given to no target. */
public final class OrderException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean conflict;

    private OrderException(String message, boolean conflict) {
        super(message, null, false, false);
        this.conflict = conflict;
    }

    /** Another order to the pool is under way. */
    static OrderException conflict(String pool) {
        return new OrderException("another order to pool '" + pool + "' is under way; nothing was ordered", true);
    }

    /** The key-value service could not be asked. */
    static OrderException unavailable(String pool, Throwable cause) {
        return new OrderException(
                "no order lease for pool '" + pool + "': " + cause.getMessage() + "; nothing was ordered", false);
    }

    /** True when another order is under way. */
    public boolean isConflict() {
        return conflict;
    }
}
