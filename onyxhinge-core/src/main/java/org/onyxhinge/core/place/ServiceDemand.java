package org.onyxhinge.core.place;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import org.onyxhinge.core.share.ShortCallShares;
import org.onyxhinge.core.share.WorkspaceShares;

/** Demand for one service: calls queued here and at the peers, arrival rates, and the rate at which slots are freed. */
final class ServiceDemand {

    /** Weight of the newest call. Durations vary widely, so the average spans about 50 calls. */
    private static final double HOLD_TIME_SMOOTHING = 0.02;

    /** Initial average of the time a call holds its slot. */
    private static final double INITIAL_HOLD_TIME_MS = 1_000;

    private static final int ALL_RANKS = Integer.MAX_VALUE;

    /** Fraction of the full-load turnover that is assumed while not all slots are in use. */
    private static final double ASSUMED_TURNOVER_FRACTION = 0.7;

    private final QueueOrder order;
    private final WaitingCalls waiting;
    private final Rate freed = new Rate();
    private final Map<Integer, Rate> arrivalRates = new TreeMap<>();
    private final Map<Call, Sending> running = new IdentityHashMap<>();
    /** Moving average of the time a call holds its slot. */
    private double holdTimeMs = INITIAL_HOLD_TIME_MS;

    private final Map<String, PeerDemand> peers = new HashMap<>();
    private final Map<String, ServiceRates> peerRates = new HashMap<>();
    /** Recent slot requests from routers of other groups. */
    private final Map<String, BorrowRequest> borrowRequests = new HashMap<>();

    private final RankShares shares;
    private final Optional<WorkspaceShares> workspaceShares;

    /** When a call was sent, and how long it was expected to hold its slot. */
    private record Sending(long atMs, double expectedMs) {}

    /** A slot request from a router of another group, and when it expires. */
    private record BorrowRequest(PeerDemand demand, long untilMs) {}

    /** A peer that needs a slot, and its demand. */
    record PeerNeed(String peer, PeerDemand demand) {}

    /** Creates the demand of a service without calls, with the queue order and the shares that the settings ask for. */
    ServiceDemand(PlacementSettings settings) {
        this.order = QueueOrder.of(settings);
        this.waiting = new WaitingCalls(order, this::isAboveShare);
        this.shares = new RankShares(settings);
        this.workspaceShares =
                settings.uses(Mechanism.WORKSPACE_SHARES) ? Optional.of(new WorkspaceShares()) : Optional.empty();
    }

    /** The shares of the workspaces, if the slots are shared between them. */
    Optional<WorkspaceShares> workspaceShares() {
        return workspaceShares;
    }

    /** Whether a call is of a workspace above its share; its calls yield to those of the other workspaces. */
    boolean isAboveShare(Call call) {
        return workspaceShares.isPresent() && workspaceShares.get().isAboveShare(call.rank(), call.workspace());
    }

    /** Replaces the target time used by the calls of a peer. */
    void peerWorkspaceUse(String peer, List<WorkspaceShares.Use> uses, long nowMs) {
        workspaceShares.ifPresent(s -> s.peerUsed(peer, uses, nowMs));
    }

    /** Whether no call of this router waits or runs. */
    boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    /** Calls queued at this router. */
    WaitingCalls waiting() {
        return waiting;
    }

    /** The precedence of a call that is queued with a rank. */
    int precedence(Call call, int rank, ServiceTargets targets, long nowMs) {
        return order.precedence(rank, targets.canBeOnTime(call, nowMs), isAboveShare(call));
    }

    /** Whether any call queued here precedes a new call with a rank. */
    boolean anyAhead(Call call, int rank, ServiceTargets targets, long nowMs) {
        return switch (order) {
            case RANK_FIRST ->
                waiting.ahead(order.precedence(rank, !call.isRepeat(), isAboveShare(call)), c -> true) > 0;
            case ON_TIME_FIRST ->
                waiting.ahead(precedence(call, rank, targets, nowMs), c -> targets.canBeOnTime(c, nowMs)) > 0;
        };
    }

    /** Records a call that arrives or needs a further target; returns the rank it is queued with. */
    int arrived(Call call, long nowMs) {
        arrivalRates.computeIfAbsent(call.rank(), r -> new Rate()).event(nowMs);
        int rank = shares.effectiveRank(call, waiting, nowMs);
        call.queuedWith(rank);
        return rank;
    }

    /**
     * Records a call that is about to be sent to a target of the service.
     *
     * @param expectedMs how long it is expected to hold its slot
     */
    void sent(Call call, ServiceTargets targets, double expectedMs, long nowMs) {
        shares.sent(call, () -> targets.canBeOnTime(call, nowMs), nowMs);
        running.put(call, new Sending(nowMs, expectedMs));
        workspaceShares.ifPresent(s -> s.used(call.rank(), call.workspace(), expectedMs, nowMs));
    }

    void refused(Call call, long nowMs) {
        shares.refused(call, nowMs);
    }

    /** Removes a queued call whose caller has disconnected. */
    void withdrawn(Call call) {
        waiting.remove(call);
        shares.withdrawn(call);
    }

    /** The state of the shares of short calls, if they are used. */
    Optional<ShortCallShares.State> shortCallState(long nowMs) {
        return shares.shortCallState(nowMs);
    }

    /** Records that a call of this router has ended. */
    void ended(Call call, long nowMs) {
        freed.event(nowMs);
        Sending sending = running.remove(call);
        if (sending != null) {
            long tookMs = nowMs - sending.atMs();
            holdTimeMs += HOLD_TIME_SMOOTHING * (tookMs - holdTimeMs);
            workspaceShares.ifPresent(s -> s.used(call.rank(), call.workspace(), tookMs - sending.expectedMs(), nowMs));
            shares.ended(call, tookMs);
        }
    }

    /** Rates of the service as seen by this router, for the peers. */
    ServiceRates rates(long nowMs) {
        Map<Integer, Double> arrived = new HashMap<>();
        arrivalRates.forEach((rank, rate) -> arrived.put(rank, rate.perSecond(nowMs)));
        return new ServiceRates(freed.perSecond(nowMs), arrived);
    }

    /**
     * Rates of all routers together. A peer that has not reported its rates is assumed to have those of this router.
     *
     * @param routers number of routers that share the targets, including this one
     */
    ServiceRates fleetRates(int routers, long nowMs) {
        ServiceRates own = rates(nowMs);
        double unreportedRouters = routers - peerRates.size();
        double freedPerSecond = own.freed() * unreportedRouters;
        Map<Integer, Double> arrived = new HashMap<>();
        own.arrivedByRank().forEach((rank, perSecond) -> arrived.put(rank, perSecond * unreportedRouters));
        for (ServiceRates r : peerRates.values()) {
            freedPerSecond += r.freed();
            r.arrivedByRank().forEach((rank, perSecond) -> arrived.merge(rank, perSecond, Double::sum));
        }
        return new ServiceRates(freedPerSecond, arrived);
    }

    /** Rate at which slots become free for all routers while all slots are in use. */
    double freedPerSecond(ServiceTargets targets, int routers, long nowMs) {
        return Math.max(fleetRates(routers, nowMs).freed(), fullTurnoverPerSecond(targets, nowMs));
    }

    /** Replaces the rates reported by a peer; null for none. */
    void peerRates(String peer, ServiceRates rates) {
        if (rates == null) {
            peerRates.remove(peer);
        } else {
            peerRates.put(peer, rates);
        }
    }

    /** Replaces the number of calls queued at a peer, by precedence; null for none. */
    void peerWaiting(String peer, Map<Integer, Integer> byPrecedence) {
        if (byPrecedence == null) {
            peers.remove(peer);
        } else {
            peers.merge(peer, PeerDemand.of(byPrecedence), (before, fresh) -> before.updated(byPrecedence));
        }
    }

    /** Records a slot request from a router of another group, with its number of queued calls by precedence. */
    void slotsRequested(String router, Map<Integer, Integer> byPrecedence, long nowMs) {
        long validUntilMs = nowMs + SlotRequest.VALID_MS;
        borrowRequests.put(router, new BorrowRequest(PeerDemand.ofRequest(byPrecedence, validUntilMs), validUntilMs));
    }

    /** Whether any peer has calls queued; its updates are more frequent then. */
    boolean anyPeerHasWaitingCalls() {
        return peers.values().stream().anyMatch(d -> d.waitingUpTo(Integer.MAX_VALUE) > 0);
    }

    /**
     * Returns the peer with the most urgent call before {@code precedence} that still needs a reservation. Every router
     * sees the same queued calls. If a peer has five, the first five routers in the order for that peer reserve one
     * slot each; otherwise all routers would reserve slots for the same calls.
     */
    Optional<PeerNeed> mostUrgentPeerBefore(int precedence, RendezvousOrder order, long nowMs) {
        PeerNeed need = null;
        for (Map.Entry<String, PeerDemand> e : peers.entrySet()) {
            need = moreUrgent(need, e.getKey(), e.getValue(), precedence, order.position(e.getKey()), nowMs);
        }
        borrowRequests.values().removeIf(b -> b.untilMs() <= nowMs);
        for (Map.Entry<String, BorrowRequest> e : borrowRequests.entrySet()) {
            need = moreUrgent(need, e.getKey(), e.getValue().demand(), precedence, 0, nowMs);
        }
        return Optional.ofNullable(need);
    }

    /**
     * Returns the peer with the most urgent call up to {@code precedence} that has no reservation; among equals, the
     * one served least recently. Used for slots that no other router can reserve.
     *
     * @param servedAtMs when a peer was last served
     */
    Optional<PeerNeed> mostUrgentPeerByTurn(int precedence, ToLongFunction<String> servedAtMs, long nowMs) {
        borrowRequests.values().removeIf(b -> b.untilMs() <= nowMs);
        return Stream.concat(
                        peers.entrySet().stream().map(e -> new PeerNeed(e.getKey(), e.getValue())),
                        borrowRequests.entrySet().stream()
                                .map(e -> new PeerNeed(e.getKey(), e.getValue().demand())))
                .filter(n -> n.demand().mostUrgent() <= precedence)
                .filter(n -> n.demand().unreservedBefore(Integer.MAX_VALUE, nowMs) > 0)
                .min(Comparator.<PeerNeed>comparingInt(n -> n.demand().mostUrgent())
                        .thenComparingLong(n -> servedAtMs.applyAsLong(n.peer())));
    }

    /**
     * Returns whichever of two routers has the more urgent demand.
     *
     * @param reservedByOthers calls of the second router that other routers reserve slots for
     */
    private static PeerNeed moreUrgent(
            PeerNeed first, String router, PeerDemand demand, int precedence, int reservedByOthers, long nowMs) {
        boolean second = demand.unreservedBefore(precedence, nowMs) > reservedByOthers
                && (first == null || demand.mostUrgent() < first.demand().mostUrgent());
        return second ? new PeerNeed(router, demand) : first;
    }

    /**
     * Estimates how long a call would wait: the calls ahead of it here and at the peers, divided by the rate at which
     * slots are freed for all routers, less the rate at which calls of more urgent ranks arrive. While all targets
     * refuse calls, this starts when the first of them will accept some. A peer that has not reported its rates is
     * assumed to have the same rates as this router. If calls that can be on time come first, a call that will be late
     * by the end of its wait also waits for all arrivals.
     *
     * @param rank the rank the call is queued with
     * @param routers number of routers that share the targets, including this one
     */
    WaitEstimate expectedWait(Call call, int rank, ServiceTargets targets, int routers, long nowMs) {
        int onTime = order.precedence(rank, true, isAboveShare(call));
        WaitEstimate estimate = expectedWait(call, onTime, rank, targets, routers, nowMs);
        boolean remainsOnTime = order == QueueOrder.RANK_FIRST
                ? !call.isRepeat()
                : targets.canBeOnTimeAfter(call, estimate.waitMs(), nowMs);
        return remainsOnTime
                ? estimate
                : expectedWait(
                        call,
                        order.precedence(rank, false, false),
                        order == QueueOrder.RANK_FIRST ? rank + 1 : ALL_RANKS,
                        targets,
                        routers,
                        nowMs);
    }

    /**
     * Estimates the wait of a call with a precedence. A call that continues a stream competes for the slots of one
     * version only, with all that wait for the same version and with its part of the others.
     *
     * @param rank arrivals of more urgent ranks than this one precede the call
     */
    private WaitEstimate expectedWait(
            Call call, int precedence, int rank, ServiceTargets targets, int routers, long nowMs) {
        ServiceRates own = rates(nowMs);
        double unreportedRouters = routers - peerRates.size();
        double freedPerSecond = own.freed() * unreportedRouters;
        double urgentPerSecond = own.arrivedBefore(rank) * unreportedRouters;
        for (ServiceRates r : peerRates.values()) {
            freedPerSecond += r.freed();
            urgentPerSecond += r.arrivedBefore(rank);
        }
        Predicate<Call> onTime = c -> targets.canBeOnTime(c, nowMs);
        Predicate<Call> sameTargets = c -> c.version().equals(call.version());
        int aheadForSame = waiting.ahead(precedence, onTime, sameTargets);
        int aheadForOthers = waiting.ahead(precedence, onTime, sameTargets.negate());
        for (PeerDemand d : peers.values()) {
            aheadForOthers += d.waitingUpTo(precedence);
        }
        double part = targets.slotFraction(call, nowMs);
        return WaitEstimate.of(
                targets.refusedForMs(call, nowMs),
                aheadForSame + (int) Math.round(part * aheadForOthers),
                part * Math.max(freedPerSecond, fullTurnoverPerSecond(targets, nowMs)),
                part * urgentPerSecond);
    }

    /** Rate at which slots are freed while all are in use. */
    private double fullTurnoverPerSecond(ServiceTargets targets, long nowMs) {
        return ASSUMED_TURNOVER_FRACTION * targets.turnoverPerSecond(holdTimeMs, nowMs);
    }
}
