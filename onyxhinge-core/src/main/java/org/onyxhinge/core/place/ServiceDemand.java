package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What is asked of one service: calls that wait here and at the peers, how many arrive, how fast places fall free. */
final class ServiceDemand {

    private static final double MS_PER_SECOND = 1_000;

    /** Part of the places' usual turnover that is counted on before ends have been seen. */
    private static final double CERTAIN_FREED_PART = 0.7;

    private final WaitingCalls waiting = new WaitingCalls();
    private final Rate freed = new Rate();
    private final Map<Integer, Rate> arrivals = new TreeMap<>();
    private final Map<String, PeerDemand> peers = new HashMap<>();
    private final RankShares shares = new RankShares();

    /** A peer in need of a place, and what it needs. */
    record Neediest(String peer, PeerDemand demand) {}

    /** Calls that wait here. */
    WaitingCalls waiting() {
        return waiting;
    }

    /** Notes a call that arrives, or wants a further target; tells the rank that it goes by. */
    int arrived(Call call, long nowMs) {
        arrivals.computeIfAbsent(call.rank(), r -> new Rate()).event(nowMs);
        return shares.precedence(call, nowMs);
    }

    void sent(Call call, long nowMs) {
        shares.sent(call, nowMs);
    }

    void refused(Call call, long nowMs) {
        shares.refused(call, nowMs);
    }

    /** Notes that one of this router's calls has ended. */
    void placeFreed(long nowMs) {
        freed.event(nowMs);
    }

    /** Takes in how many calls wait at a peer, by rank, in place of what it said before; null for none. */
    void peerWaiting(String peer, Map<Integer, Integer> byRank) {
        if (byRank == null) {
            peers.remove(peer);
        } else {
            peers.merge(peer, PeerDemand.of(byRank), (before, fresh) -> before.now(byRank));
        }
    }

    /** True while any peer has calls that wait; it speaks more often then. */
    boolean anyPeerWaits() {
        return peers.values().stream().anyMatch(d -> d.waitingUpTo(Integer.MAX_VALUE) > 0);
    }

    /**
     * The peer with the most urgent call above {@code rank} that a place is to be left to. Every router sees the same
     * calls wait: of a peer's five, the five that come first in the order for it leave it one each, or all would.
     */
    Optional<Neediest> neediestAbove(int rank, RouterOrder order, long nowMs) {
        Neediest need = null;
        for (Map.Entry<String, PeerDemand> e : peers.entrySet()) {
            PeerDemand d = e.getValue();
            if (d.unservedAbove(rank, nowMs) > order.before(e.getKey())
                    && (need == null || d.firstRank() < need.demand().firstRank())) {
                need = new Neediest(e.getKey(), d);
            }
        }
        return Optional.ofNullable(need);
    }

    /**
     * How long a call would wait: those ahead of it here and at the peers over the rate at which places fall free
     * for all routers, less what arrivals of more urgent ranks will take meanwhile. Peers are taken to see the
     * same arrivals and ends as this router.
     *
     * @param rank the rank it goes by
     */
    WaitEstimate expectedWait(Call call, int rank, ServiceTargets targets, int routers, long nowMs) {
        double freedPerSecond = Math.max(freed.perSecond(nowMs) * routers, fullTurnoverPerSecond(call, targets));
        double urgentPerSecond = 0;
        for (Map.Entry<Integer, Rate> e : arrivals.entrySet()) {
            urgentPerSecond += e.getKey() < rank ? e.getValue().perSecond(nowMs) * routers : 0;
        }
        int ahead = waiting.ahead(rank, c -> targets.canBeOnTime(c, nowMs));
        for (PeerDemand d : peers.values()) {
            ahead += d.waitingUpTo(rank);
        }
        return WaitEstimate.of(ahead, freedPerSecond, urgentPerSecond);
    }

    /** How often a place falls free while all are taken. */
    private static double fullTurnoverPerSecond(Call call, ServiceTargets targets) {
        return CERTAIN_FREED_PART * targets.slots() * MS_PER_SECOND / targets.usualMs(call);
    }
}
