package org.onyxhinge.core.place;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/** What is asked of one service: calls that wait here and at the peers, how many arrive, how fast slots fall free. */
final class ServiceDemand {

    /** A router that asks for slots is served from those that fall free soon after; then it asks another. */
    private static final long ASKED_FOR_MS = 100;

    /** Weight of the newest call: they differ widely in length, so about the last fifty decide. */
    private static final double HELD_WEIGHT = 0.02;

    /** Where learning how long calls hold their slots starts. */
    private static final double FIRST_HELD_MS = 1_000;

    /** Part of the slots' usual turnover that is counted on while not all of them are taken. */
    private static final double CERTAIN_FREED_PART = 0.7;

    private final WaitingCalls waiting = new WaitingCalls();
    private final Rate freed = new Rate();
    private final Map<Integer, Rate> arrivals = new TreeMap<>();
    private final Map<Call, Long> sentAtMs = new IdentityHashMap<>();
    /** How long a call lately held its slot. */
    private double heldMs = FIRST_HELD_MS;

    private final Map<String, PeerDemand> peers = new HashMap<>();
    private final Map<String, ServiceRates> peerRates = new HashMap<>();
    /** Routers of other groups that have asked for slots lately. */
    private final Map<String, Borrower> borrowers = new HashMap<>();

    private final RankShares shares = new RankShares();
    private final boolean leastShare;

    /** What a router of another group has asked for, and until when that holds. */
    private record Borrower(PeerDemand demand, long untilMs) {}

    /** A peer in need of a slot, and what it needs. */
    record Neediest(String peer, PeerDemand demand) {}

    /**
     * Demand for a service that nobody has asked for yet.
     *
     * @param leastShare whether a rank of which little is sent goes before more urgent ones
     */
    ServiceDemand(boolean leastShare) {
        this.leastShare = leastShare;
    }

    /** Calls that wait here. */
    WaitingCalls waiting() {
        return waiting;
    }

    /** Notes a call that arrives, or wants a further target; tells the rank that it goes by. */
    int arrived(Call call, long nowMs) {
        arrivals.computeIfAbsent(call.rank(), r -> new Rate()).event(nowMs);
        return leastShare ? shares.rankFor(call, nowMs) : call.rank();
    }

    void sent(Call call, long nowMs) {
        shares.sent(call, nowMs);
        sentAtMs.put(call, nowMs);
    }

    void refused(Call call, long nowMs) {
        shares.refused(call, nowMs);
    }

    /** Notes that one of this router's calls has ended. */
    void ended(Call call, long nowMs) {
        freed.event(nowMs);
        Long beganAtMs = sentAtMs.remove(call);
        if (beganAtMs != null) {
            heldMs += HELD_WEIGHT * (nowMs - beganAtMs - heldMs);
        }
    }

    /** What this router sees of it, for the others. */
    ServiceRates rates(long nowMs) {
        Map<Integer, Double> arrived = new HashMap<>();
        arrivals.forEach((rank, rate) -> arrived.put(rank, rate.perSecond(nowMs)));
        return new ServiceRates(freed.perSecond(nowMs), arrived);
    }

    /** Takes in what a peer sees of it; null for nothing. */
    void peerRates(String peer, ServiceRates rates) {
        if (rates == null) {
            peerRates.remove(peer);
        } else {
            peerRates.put(peer, rates);
        }
    }

    /** Takes in how many calls wait at a peer, by precedence, in place of what it said before; null for none. */
    void peerWaiting(String peer, Map<Integer, Integer> byPrecedence) {
        if (byPrecedence == null) {
            peers.remove(peer);
        } else {
            peers.merge(peer, PeerDemand.of(byPrecedence), (before, fresh) -> before.now(byPrecedence));
        }
    }

    /** Notes how many calls wait, by precedence, at a router of another group that asks for slots. */
    void asked(String router, Map<Integer, Integer> byPrecedence, long nowMs) {
        borrowers.put(router, new Borrower(PeerDemand.of(byPrecedence), nowMs + ASKED_FOR_MS));
    }

    /** True while any peer has calls that wait; it speaks more often then. */
    boolean anyPeerWaits() {
        return peers.values().stream().anyMatch(d -> d.waitingUpTo(Integer.MAX_VALUE) > 0);
    }

    /**
     * The peer with the first call before {@code precedence} that a slot is to be reserved for. Every router sees the
     * same calls wait: of a peer's five, the five that come first in the order for it reserve it one each, or all
     * would.
     */
    Optional<Neediest> neediestBefore(int precedence, RouterOrder order, long nowMs) {
        Neediest need = null;
        for (Map.Entry<String, PeerDemand> e : peers.entrySet()) {
            need = neediest(need, e.getKey(), e.getValue(), precedence, order.before(e.getKey()), nowMs);
        }
        borrowers.values().removeIf(b -> b.untilMs() <= nowMs);
        for (Map.Entry<String, Borrower> e : borrowers.entrySet()) {
            need = neediest(need, e.getKey(), e.getValue().demand(), precedence, 0, nowMs);
        }
        return Optional.ofNullable(need);
    }

    /**
     * The peer with the first call up to {@code precedence} that no slot is reserved for; of those alike, the one that
     * was last served longest ago. It is for slots that no other router can reserve.
     *
     * @param servedAtMs when a peer was last served
     */
    Optional<Neediest> neediestInTurn(int precedence, ToLongFunction<String> servedAtMs, long nowMs) {
        borrowers.values().removeIf(b -> b.untilMs() <= nowMs);
        return Stream.concat(
                        peers.entrySet().stream().map(e -> new Neediest(e.getKey(), e.getValue())),
                        borrowers.entrySet().stream()
                                .map(e -> new Neediest(e.getKey(), e.getValue().demand())))
                .filter(n -> n.demand().first() <= precedence)
                .filter(n -> n.demand().unservedBefore(Integer.MAX_VALUE, nowMs) > 0)
                .min(Comparator.<Neediest>comparingInt(n -> n.demand().first())
                        .thenComparingLong(n -> servedAtMs.applyAsLong(n.peer())));
    }

    /**
     * The needier of two routers.
     *
     * @param served calls of the second that others reserve slots for
     */
    private static Neediest neediest(
            Neediest first, String router, PeerDemand demand, int precedence, int served, long nowMs) {
        boolean second = demand.unservedBefore(precedence, nowMs) > served
                && (first == null || demand.first() < first.demand().first());
        return second ? new Neediest(router, demand) : first;
    }

    /**
     * How long a call would wait: those ahead of it here and at the peers over the rate at which slots fall free for
     * all routers, less what arrivals of more urgent ranks will take meanwhile. A peer that has not said what it sees
     * is taken to see the same as this router.
     *
     * @param rank the rank it goes by
     * @param routers routers that share the targets, this one included
     */
    WaitEstimate expectedWait(Call call, int rank, ServiceTargets targets, int routers, long nowMs) {
        ServiceRates own = rates(nowMs);
        double alike = routers - peerRates.size();
        double freedPerSecond = own.freed() * alike;
        double urgentPerSecond = own.arrivedBefore(rank) * alike;
        for (ServiceRates r : peerRates.values()) {
            freedPerSecond += r.freed();
            urgentPerSecond += r.arrivedBefore(rank);
        }
        int ahead = waiting.ahead(rank, c -> targets.canBeOnTime(c, nowMs));
        for (PeerDemand d : peers.values()) {
            ahead += d.waitingUpTo(Precedence.of(rank, true));
        }
        return WaitEstimate.of(ahead, Math.max(freedPerSecond, fullTurnoverPerSecond(targets)), urgentPerSecond);
    }

    /** How often a slot falls free while all are taken. */
    private double fullTurnoverPerSecond(ServiceTargets targets) {
        return CERTAIN_FREED_PART * targets.turnoverPerSecond(heldMs);
    }
}
