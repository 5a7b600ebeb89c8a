package org.onyxhinge.core.place;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Decides which free slots this router takes and which it reserves for other routers. Routers learn of each other's
 * calls with a delay. Without coordination all of them would take the same free slots, and a freed slot would go to the
 * router whose call ended there, whatever is queued elsewhere.
 */
final class SlotSharing {

    /**
     * Long enough for the other router to use the slot and to report it. If it does not, the slot is left unused only
     * briefly.
     */
    private static final long RESERVATION_MS = 40;

    private final FleetView fleet;
    private final PlacementSettings settings;
    private final BiConsumer<String, String> reserved;
    /** Targets with slots freed by this router's calls. */
    private final Set<TargetState> freed = new LinkedHashSet<>();

    /**
     * Creates an instance without free slots.
     *
     * @param reserved called when a slot is reserved, with the other router's id and the target's incarnation
     */
    SlotSharing(FleetView fleet, PlacementSettings settings, BiConsumer<String, String> reserved) {
        this.fleet = fleet;
        this.settings = settings;
        this.reserved = reserved;
    }

    /** When a reservation made now expires. */
    static long reservedUntilMs(long nowMs) {
        return nowMs + RESERVATION_MS;
    }

    /**
     * Records that a call of this router has ended at a target. A borrowed slot is kept for the next queued call while
     * it is on loan, so that short calls need no request each.
     */
    void freed(TargetState target, long nowMs) {
        if (target.ownership() != TargetState.Owners.OTHER_GROUP) {
            freed.add(target);
        } else if (target.isOnLoan(nowMs)) {
            target.service().keepBorrowedSlot(target, reservedUntilMs(nowMs));
        }
    }

    /** Whether there are freed slots for which no reservation has been considered yet. */
    boolean anyFreed() {
        return !freed.isEmpty();
    }

    /** Returns the best free slot for a call, after reserving free slots for routers whose calls precede it. */
    Optional<TargetState> slotFor(ServiceTargets service, ServiceDemand demand, Call call, int precedence, long nowMs) {
        Predicate<TargetState> eligible = mayTake(service, demand, call, nowMs);
        Optional<TargetState> free = service.best(call, eligible, nowMs);
        while (free.isPresent() && reserveForMostUrgentPeer(service, demand, precedence, free.get(), nowMs)) {
            free = service.best(call, eligible, nowMs);
        }
        return free;
    }

    /** Whether there is a free slot for a call and no call of another router precedes it. */
    boolean hasSlotFor(ServiceTargets service, ServiceDemand demand, Call call, int precedence, long nowMs) {
        return service.best(call, mayTake(service, demand, call, nowMs), nowMs).isPresent()
                && demand.mostUrgentPeerBefore(precedence, fleet.routersSharing(service), nowMs)
                        .isEmpty();
    }

    /** Returns a free slot of a target with a version on trial. */
    Optional<TargetState> trialSlotFor(ServiceTargets service, ServiceDemand demand, Call call, long nowMs) {
        return service.bestOnTrial(call, mayTake(service, demand, call, nowMs), nowMs);
    }

    private Predicate<TargetState> mayTake(ServiceTargets service, ServiceDemand demand, Call call, long nowMs) {
        long propagationDelayMs = fleet.propagationDelayMs(service, demand.anyPeerHasWaitingCalls());
        return t -> t.takesGuest(call, nowMs) || mayTake(t, t.lastByteMs(call), propagationDelayMs, nowMs);
    }

    /**
     * Whether this router may take a free slot of a target: a slot freed by its own calls, a slot reserved for it, any
     * slot of a target whose rate limit it manages, or otherwise a slot within its turn at this target.
     *
     * <p>Calls that end before other routers hear of them need no turn: they are over by the time they are reported.
     *
     * @param callMs how long the call takes there
     * @param propagationDelayMs time until other routers learn what this one does now
     */
    private boolean mayTake(TargetState target, double callMs, long propagationDelayMs, long nowMs) {
        return callMs < propagationDelayMs
                || target.hasOwnSlot(nowMs)
                || target.isLimitedHere()
                || isOwnTurn(target, nowMs);
    }

    private boolean isOwnTurn(TargetState target, long nowMs) {
        RendezvousOrder order = fleet.routersSharing(target);
        return target.isOwnTurn(order.position(target.incarnation()), order.others() + 1, nowMs);
    }

    /** When the routers that share the targets of a service learn what this one does now. */
    private long announcedAtMs(ServiceTargets service, ServiceDemand demand, long nowMs) {
        return nowMs + fleet.propagationDelayMs(service, demand.anyPeerHasWaitingCalls());
    }

    /** Records that a call is sent to a target. */
    void taken(ServiceTargets service, ServiceDemand demand, Call call, TargetState target, long nowMs) {
        target.started(call, nowMs, announcedAtMs(service, demand, nowMs));
        target.limit().ifPresent(l -> l.servedHere(nowMs));
    }

    /** The fastest target with a free slot that this router may take for any call. */
    private Optional<TargetState> fastestFree(ServiceTargets service, long nowMs) {
        return service.fastest(t -> mayTake(t, Double.MAX_VALUE, 0, nowMs), nowMs);
    }

    private boolean reserveForMostUrgentPeer(
            ServiceTargets service, ServiceDemand demand, int precedence, TargetState target, long nowMs) {
        if (!settings.uses(Mechanism.HAND_OVER)) {
            return false;
        }
        Optional<ServiceDemand.PeerNeed> need = target.isLimitedHere()
                ? mostUrgentPeerByTurn(target.limit().orElseThrow(), demand, precedence, nowMs)
                : demand.mostUrgentPeerBefore(precedence, fleet.routersSharing(service), nowMs);
        if (need.isEmpty()) {
            return false;
        }
        need.get().demand().reserved(reservedUntilMs(nowMs));
        reserve(need.get().peer(), service, demand, target, nowMs);
        return true;
    }

    /**
     * No other router serves the peers at this target, so peers with calls as urgent as this router's take turns too.
     */
    private static Optional<ServiceDemand.PeerNeed> mostUrgentPeerByTurn(
            TargetLimit limit, ServiceDemand demand, int precedence, long nowMs) {
        return demand.mostUrgentPeerByTurn(precedence, limit::servedAtMs, nowMs)
                .filter(n -> n.demand().mostUrgent() < precedence || limit.isTurnOf(n.peer()));
    }

    private void reserve(String router, ServiceTargets service, ServiceDemand demand, TargetState target, long nowMs) {
        target.reserveForPeer(reservedUntilMs(nowMs), nowMs, announcedAtMs(service, demand, nowMs));
        target.limit().ifPresent(l -> l.served(router, nowMs));
        reserved.accept(router, target.incarnation());
    }

    /**
     * Reserves slots that no local call is queued for, for routers of the group with queued calls, and releases the
     * rest.
     */
    void reserveFreeSlots(ServiceTargets service, ServiceDemand demand, long nowMs) {
        Optional<TargetState> free = fastestFree(service, nowMs);
        while (free.isPresent() && reserveForMostUrgentPeer(service, demand, Integer.MAX_VALUE, free.get(), nowMs)) {
            free = fastestFree(service, nowMs);
        }
        freed.removeIf(t -> {
            boolean releaseFreedSlots = t.service() == service;
            if (releaseFreedSlots) {
                t.releaseFreedSlots();
            }
            return releaseFreedSlots;
        });
    }
}
