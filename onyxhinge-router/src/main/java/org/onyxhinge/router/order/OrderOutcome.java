package org.onyxhinge.router.order;

import java.util.List;

import org.onyxhinge.core.order.OrderStatus;

/**
 * The outcome of an order to a pool.
 *
 * @param fencingToken fencing token of the order
 * @param targets outcome at each target
 */
public record OrderOutcome(long fencingToken, List<TargetResult> targets) {

    /** Makes a defensive copy of the list. */
    public OrderOutcome {
        targets = List.copyOf(targets);
    }

    /**
     * The outcome at one target.
     *
     * @param targetId id of the target
     * @param status status of the order at the target
     * @param detail explanation for operators
     */
    public record TargetResult(String targetId, OrderStatus status, String detail) {}
}
