package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Queue of calls that a router has read but not started to process, ordered by rank and then by arrival. It is empty
 * unless the router is short of CPU. A router that has just started spends several times the usual CPU time on each
 * call, so for its first seconds calls arrive faster than it can process them. Processed in arrival order, all of them
 * would be late, including the most urgent ones.
 *
 * <p>Not thread-safe. Times are milliseconds of one monotonic clock.
 *
 * @param <T> type that represents a call
 */
public final class IntakeQueue<T> {

    /** Weight of the newest interval between two dequeued calls; the average spans about seven. */
    private static final double SMOOTHING_FACTOR = 0.15;

    private final TreeSet<Entry<T>> entries =
            new TreeSet<>(Comparator.<Entry<T>>comparingInt(Entry::rank).thenComparingLong(Entry::number));
    private long added;
    private double msPerCall;
    private long lastDequeuedAtMs = -1;

    private record Entry<T>(T call, int rank, long queueDeadlineMs, long number) {}

    private IntakeQueue() {}

    /** Creates an empty queue. */
    public static <T> IntakeQueue<T> create() {
        return new IntakeQueue<>();
    }

    /** Returns whether no call is queued. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the number of queued calls. */
    public int size() {
        return entries.size();
    }

    /**
     * Adds a call.
     *
     * @param queueDeadlineMs when the call expires from the queue
     */
    public void add(T call, int rank, long queueDeadlineMs) {
        entries.add(new Entry<>(call, rank, queueDeadlineMs, added++));
    }

    /** Removes and returns the call to process next. */
    public Optional<T> next(long nowMs) {
        Entry<T> first = entries.pollFirst();
        if (first == null) {
            return Optional.empty();
        }
        if (lastDequeuedAtMs >= 0) {
            msPerCall += SMOOTHING_FACTOR * (nowMs - lastDequeuedAtMs - msPerCall);
        }
        // Between the last call of a backlog and the first of the next one the router was idle, so that interval is
        // skipped.
        lastDequeuedAtMs = entries.isEmpty() ? -1 : nowMs;
        return Optional.of(first.call());
    }

    /** Removes and returns the calls whose queue deadline has passed. */
    public List<T> expired(long nowMs) {
        List<T> out = new ArrayList<>();
        entries.removeIf(e -> nowMs >= e.queueDeadlineMs() && out.add(e.call()));
        return out;
    }

    /** Returns the expected wait of a call of a rank: the number of calls ahead times the recent time per call. */
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
