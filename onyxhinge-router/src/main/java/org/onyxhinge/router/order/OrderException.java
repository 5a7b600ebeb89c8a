package org.onyxhinge.router.order;

/** Failure of an order that was sent to no target. */
public final class OrderException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean conflict;

    private OrderException(String message, boolean conflict) {
        super(message, null, false, false);
        this.conflict = conflict;
    }

    /** Another order to the pool is in progress. */
    static OrderException conflict(String pool) {
        return new OrderException("another order to pool '" + pool + "' is in progress; no order was sent", true);
    }

    /** The key-value service is unavailable. */
    static OrderException unavailable(String pool, Throwable cause) {
        return new OrderException(
                "key-value service unavailable for the order to pool '" + pool + "': " + cause.getMessage()
                        + "; no order was sent",
                false);
    }

    /** Returns true if another order to the pool is in progress. */
    public boolean isConflict() {
        return conflict;
    }
}
