package org.onyxhinge.router.order;

import java.util.List;

import org.onyxhinge.core.order.OrderStatus;

/**
 * What became of an order to a pool.
 *
 * @param fencingToken the token it carried
 * @param targets the outcome at each target, by id
 */
public record OrderOutcome(long fencingToken, List<TargetResult> targets) {

    /** Copies the list. */
    public OrderOutcome {
        targets = List.copyOf(targets);
    }

    /**
     * The outcome at one target.
     *
     * @param targetId the target
     * @param status what became of the order there
     * @param detail why, for operators
     */
    public record TargetResult(String targetId, OrderStatus status, String detail) {}
}
