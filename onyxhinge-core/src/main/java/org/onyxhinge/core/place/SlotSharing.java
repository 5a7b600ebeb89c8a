package org.onyxhinge.core.place;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Which free slots of targets this router takes, and which it reserves for other routers. Routers see each other's
 * calls late: each by itself, all of them would take the same free slots, and a slot that falls free would go to the
 * router whose call ended there, whatever waits elsewhere.
 */
final class SlotSharing {

    /**
     * Long enough for the other router to use the slot and say so; if it does not, the slot stands empty for little.
     */
    private static final long RESERVED_MS = 40;

    private final FleetView fleet;
    private final PlacementSettings settings;
    private final BiConsumer<String, String> reserved;
    /** Targets with slots that this router's calls have freed. */
    private final Set<TargetState> freed = new LinkedHashSet<>();

    /**
     * Creates one that has seen no slot.
     *
     * @param reserved told when one is: the other router's id and the target's incarnation
     */
    SlotSharing(FleetView fleet, PlacementSettings settings, BiConsumer<String, String> reserved) {
        this.fleet = fleet;
        this.settings = settings;
        this.reserved = reserved;
    }

    /** Until when a slot stays reserved from now on. */
    static long reservedUntilMs(long nowMs) {
        return nowMs + RESERVED_MS;
    }

    /** Notes that a call of this router has ended at a target. */
    void freed(TargetState target) {
        freed.add(target);
    }

    /** True when slots have been freed that nobody has been considered for. */
    boolean anyFreed() {
        return !freed.isEmpty();
    }

    /** The best free slot for a call, once what is free has been reserved for routers whose calls go before it. */
    Optional<TargetState> slotFor(ServiceTargets service, ServiceDemand demand, Call call, int precedence, long nowMs) {
        Predicate<TargetState> ours = mayTake(service, demand, call, nowMs);
        Optional<TargetState> free = service.best(call, ours, nowMs);
        while (free.isPresent() && reserveForNeediest(service, demand, precedence, free.get(), nowMs)) {
            free = service.best(call, ours, nowMs);
        }
        return free;
    }

    /** Whether there is a free slot for a call that no router's call goes before. */
    boolean hasSlotFor(ServiceTargets service, ServiceDemand demand, Call call, int precedence, long nowMs) {
        return service.best(call, mayTake(service, demand, call, nowMs), nowMs).isPresent()
                && demand.neediestBefore(precedence, fleet.sharing(service), nowMs)
                        .isEmpty();
    }

    private Predicate<TargetState> mayTake(ServiceTargets service, ServiceDemand demand, Call call, long nowMs) {
        long heardAfterMs = fleet.heardAfterMs(service, demand.anyPeerWaits());
        return t -> mayTake(t, t.lastByteMs(call), heardAfterMs, nowMs);
    }

    /**
     * Whether a free slot at a target is this router's to take: one that its own calls freed, one reserved for it, any
     * of a target whose rate limit it gives out, and otherwise one if its turn at this target is among the first of
     * those that are free.
     *
     * <p>Calls that end before other routers hear of them need no turn: what is heard of such calls is over by then.
     *
     * @param callMs how long a call takes there
     * @param heardAfterMs time until other routers hear of what one does now
     */
    private boolean mayTake(TargetState target, double callMs, long heardAfterMs, long nowMs) {
        return callMs < heardAfterMs
                || target.hasSlotOfOurs(nowMs)
                || target.isLimitedHere()
                || isOurTurn(target, nowMs);
    }

    private boolean isOurTurn(TargetState target, long nowMs) {
        RouterOrder order = fleet.sharing(target);
        return target.isOurTurn(order.before(target.incarnation()), order.others() + 1, nowMs);
    }

    /** When the routers that share a service's targets will have heard of what this one does now. */
    private long heardAtMs(ServiceTargets service, ServiceDemand demand, long nowMs) {
        return nowMs + fleet.heardAfterMs(service, demand.anyPeerWaits());
    }

    /** Notes that a call goes to a target. */
    void taken(ServiceTargets service, ServiceDemand demand, Call call, TargetState target, long nowMs) {
        target.started(call, nowMs, heardAtMs(service, demand, nowMs));
        target.limit().ifPresent(l -> l.servedHere(nowMs));
    }

    /** The fastest target with a free slot that is this router's whatever the call. */
    private Optional<TargetState> fastestFree(ServiceTargets service, long nowMs) {
        return service.fastest(t -> mayTake(t, Double.MAX_VALUE, 0, nowMs), nowMs);
    }

    private boolean reserveForNeediest(
            ServiceTargets service, ServiceDemand demand, int precedence, TargetState target, long nowMs) {
        if (!settings.uses(Mechanism.HAND_OVER)) {
            return false;
        }
        Optional<ServiceDemand.Neediest> need = target.isLimitedHere()
                ? neediestInTurn(target.limit().orElseThrow(), demand, precedence, nowMs)
                : demand.neediestBefore(precedence, fleet.sharing(service), nowMs);
        if (need.isEmpty()) {
            return false;
        }
        need.get().demand().reserved(reservedUntilMs(nowMs));
        reserve(need.get().peer(), service, demand, target, nowMs);
        return true;
    }

    /** No other router serves the peers there, so calls as urgent as this router's have their turns as well. */
    private static Optional<ServiceDemand.Neediest> neediestInTurn(
            TargetLimit limit, ServiceDemand demand, int precedence, long nowMs) {
        return demand.neediestInTurn(precedence, limit::servedAtMs, nowMs)
                .filter(n -> n.demand().first() < precedence || limit.isTurnOf(n.peer()));
    }

    private void reserve(String router, ServiceTargets service, ServiceDemand demand, TargetState target, long nowMs) {
        target.reserveForPeer(reservedUntilMs(nowMs), nowMs, heardAtMs(service, demand, nowMs));
        target.limit().ifPresent(l -> l.served(router, nowMs));
        reserved.accept(router, target.incarnation());
    }

    /** Reserves slots that no call here waits for, for routers of the group whose calls do, and lets go of the rest. */
    void reserveWhatIsFree(ServiceTargets service, ServiceDemand demand, long nowMs) {
        Optional<TargetState> free = fastestFree(service, nowMs);
        while (free.isPresent() && reserveForNeediest(service, demand, Integer.MAX_VALUE, free.get(), nowMs)) {
            free = fastestFree(service, nowMs);
        }
        freed.removeIf(t -> {
            boolean letGo = t.service() == service;
            if (letGo) {
                t.letGo();
            }
            return letGo;
        });
    }
}
