package org.onyxhinge.core.place;

import java.util.ArrayDeque;
import java.util.Deque;

/** Slot reservations, each of which expires unless it is used. */
final class Reservations {

    private final Deque<Long> untilMs = new ArrayDeque<>();

    void add(long expiresAtMs) {
        untilMs.add(expiresAtMs);
    }

    /** Adds a reservation and removes the expired ones, for callers that seldom ask for the number. */
    void add(long expiresAtMs, long nowMs) {
        count(nowMs);
        add(expiresAtMs);
    }

    /** Number of reservations that are kept, the expired ones included. */
    int size() {
        return untilMs.size();
    }

    /** Number of reservations that have not expired. */
    int count(long nowMs) {
        while (!untilMs.isEmpty() && untilMs.peek() <= nowMs) {
            untilMs.poll();
        }
        return untilMs.size();
    }

    /** Removes the reservation that expires first, if there is one. */
    void consumeOne() {
        untilMs.poll();
    }
}
