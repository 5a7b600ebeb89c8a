package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Calls that a router has read and not begun to work on, the most urgent first, of one rank in the order in which they
 * came. It is empty but while the router is short of processor time. A router that has just started spends on each
 * call several times what it spends later, so that for its first seconds calls arrive faster than it can begin them;
 * begun as they come, all of them are late, the most urgent included.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 *
 * @param <T> what stands for a call
 */
public final class BeginQueue<T> {

    /** Weight of the newest sample of the time between two begins: about the last seven decide. */
    private static final double WEIGHT = 0.15;

    private final TreeSet<Entry<T>> entries =
            new TreeSet<>(Comparator.<Entry<T>>comparingInt(Entry::rank).thenComparingLong(Entry::number));
    private long added;
    private double msPerCall;
    private long begunAtMs = -1;

    private record Entry<T>(T call, int rank, long holdUntilMs, long number) {}

    private BeginQueue() {}

    /** Creates an empty queue. */
    public static <T> BeginQueue<T> create() {
        return new BeginQueue<>();
    }

    /** True when nothing waits to be begun. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Calls that wait. */
    public int size() {
        return entries.size();
    }

    /**
     * Adds a call.
     *
     * @param holdUntilMs until when it may wait
     */
    public void add(T call, int rank, long holdUntilMs) {
        entries.add(new Entry<>(call, rank, holdUntilMs, added++));
    }

    /** Takes out the call to begin now. */
    public Optional<T> next(long nowMs) {
        Entry<T> first = entries.pollFirst();
        if (first == null) {
            return Optional.empty();
        }
        if (begunAtMs >= 0) {
            msPerCall += WEIGHT * (nowMs - begunAtMs - msPerCall);
        }
        // Between the last of a backlog and the first of the next one the router was idle, not slow.
        begunAtMs = entries.isEmpty() ? -1 : nowMs;
        return Optional.of(first.call());
    }

    /** Takes out those that have waited as long as they may. */
    public List<T> expired(long nowMs) {
        List<T> out = new ArrayList<>();
        entries.removeIf(e -> nowMs >= e.holdUntilMs() && out.add(e.call()));
        return out;
    }

    /** How long a call of a rank would probably wait: those ahead of it, at the time that each has lately taken. */
    public long expectedWaitMs(int rank) {
        int ahead = 0;
        for (Entry<T> e : entries) {
            if (e.rank() > rank) {
                break;
            }
            ahead++;
        }
        return (long) (ahead * msPerCall);
    }
}
