package org.onyxhinge.tools.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The clock and event queue of a simulation. Events run in order of time; ties run in order of creation. */
final class VirtualTime {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::sequence));
    private double nowMs;
    private long eventsCreated;

    private record Event(double atMs, long sequence, Runnable action) {}

    double nowMs() {
        return nowMs;
    }

    /** Returns the time in whole milliseconds, as the placement code expects it. */
    long nowMillis() {
        return (long) nowMs;
    }

    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + Math.max(0, delayMs), eventsCreated++, action));
    }

    /** Returns the number of events created so far. {@link #after} increments it, so it also serves as a unique id. */
    long eventsCreated() {
        return eventsCreated;
    }

    /** Runs an action periodically, first after {@code delayMs}. */
    void every(double delayMs, double periodMs, Runnable action) {
        after(delayMs, () -> {
            action.run();
            every(periodMs, periodMs, action);
        });
    }

    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event e = events.poll();
            nowMs = e.atMs();
            e.action().run();
        }
    }
}
