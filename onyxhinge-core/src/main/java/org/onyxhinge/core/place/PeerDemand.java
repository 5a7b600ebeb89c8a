package org.onyxhinge.core.place;

import java.util.Map;

/** Calls queued at one peer for targets of one service, as last reported, and the slots reserved for it since. */
final class PeerDemand {

    private final Map<Integer, Integer> waitingByPrecedence;
    private final Reservations reserved;
    /** Until when each reservation counts at least. */
    private final long reservationsCountUntilMs;

    private PeerDemand(
            Map<Integer, Integer> waitingByPrecedence, Reservations reserved, long reservationsCountUntilMs) {
        this.waitingByPrecedence = waitingByPrecedence;
        this.reserved = reserved;
        this.reservationsCountUntilMs = reservationsCountUntilMs;
    }

    static PeerDemand of(Map<Integer, Integer> waitingByPrecedence) {
        return new PeerDemand(Map.copyOf(waitingByPrecedence), new Reservations(), 0);
    }

    /** The demand stated by a request that is not repeated: it is met once, whatever becomes of the reserved slots. */
    static PeerDemand ofRequest(Map<Integer, Integer> waitingByPrecedence, long validUntilMs) {
        return new PeerDemand(Map.copyOf(waitingByPrecedence), new Reservations(), validUntilMs);
    }

    /** Replaces the reported calls. Slots reserved recently for the peer still count. */
    PeerDemand updated(Map<Integer, Integer> newer) {
        return new PeerDemand(Map.copyOf(newer), reserved, reservationsCountUntilMs);
    }

    /** Number of calls at or before a precedence. */
    int waitingUpTo(int precedence) {
        int n = 0;
        for (Map.Entry<Integer, Integer> e : waitingByPrecedence.entrySet()) {
            n += e.getKey() <= precedence ? e.getValue() : 0;
        }
        return n;
    }

    /** Number of calls before {@code precedence} for which no slot has been reserved. */
    int unreservedBefore(int precedence, long nowMs) {
        return waitingUpTo(precedence - 1) - reserved.count(nowMs);
    }

    /** The most urgent precedence queued at the peer. */
    int mostUrgent() {
        int mostUrgent = Integer.MAX_VALUE;
        for (int precedence : waitingByPrecedence.keySet()) {
            mostUrgent = Math.min(mostUrgent, precedence);
        }
        return mostUrgent;
    }

    /** Records a slot reserved for the peer; it counts until the peer should have reported that it uses the slot. */
    void reserved(long untilMs) {
        reserved.add(Math.max(untilMs, reservationsCountUntilMs));
    }
}
