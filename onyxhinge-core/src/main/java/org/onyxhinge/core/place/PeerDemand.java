package org.onyxhinge.core.place;

import java.util.Map;

/** Calls queued at one peer for targets of one service, as last reported, and the slots reserved for it since. */
final class PeerDemand {

    private final Map<Integer, Integer> waitingByPrecedence;
    private final Reservations reserved;

    private PeerDemand(Map<Integer, Integer> waitingByPrecedence, Reservations reserved) {
        this.waitingByPrecedence = waitingByPrecedence;
        this.reserved = reserved;
    }

    static PeerDemand of(Map<Integer, Integer> waitingByPrecedence) {
        return new PeerDemand(Map.copyOf(waitingByPrecedence), new Reservations());
    }

    /** Replaces the reported calls. Slots reserved recently for the peer still count. */
    PeerDemand updated(Map<Integer, Integer> newer) {
        return new PeerDemand(Map.copyOf(newer), reserved);
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
        reserved.add(untilMs);
    }
}
