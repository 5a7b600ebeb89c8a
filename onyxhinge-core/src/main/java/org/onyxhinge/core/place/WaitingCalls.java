package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queued calls of one service, ordered by the rank they are queued with and by whether they can still be on time;
 * without the latter, one burst would make every later call late as well. Among equals, calls of workspaces below their
 * share come first, then retries of refused callers, then calls in order of arrival.
 */
final class WaitingCalls {

    private final List<Entry> calls = new ArrayList<>();
    private final QueueOrder order;
    private final Predicate<Call> aboveShare;

    /**
     * Creates an empty queue.
     *
     * @param aboveShare whether a call is of a workspace above its share
     */
    WaitingCalls(QueueOrder order, Predicate<Call> aboveShare) {
        this.order = order;
        this.aboveShare = aboveShare;
    }

    /**
     * A queued call.
     *
     * @param rank the rank it is queued with, which may be more urgent than its own
     */
    record Entry(Call call, int rank, long sinceMs) {

        /** A promoted retry does not go before other calls of the rank that it is queued with. */
        boolean isRetryOfItsRank() {
            return call.isRetry() && rank == call.rank();
        }
    }

    void add(Call call, int rank, long nowMs) {
        calls.add(new Entry(call, rank, nowMs));
    }

    boolean anyOfRank(int rank) {
        return calls.stream().anyMatch(e -> e.call().rank() == rank);
    }

    /** Gives the calls of a rank, and those queued with it, a more urgent rank unless they have it. */
    void promote(int ownRank, int toRank) {
        for (int i = 0; i < calls.size(); i++) {
            Entry e = calls.get(i);
            if ((e.call().rank() == ownRank || e.rank() == ownRank) && e.rank() > toRank) {
                calls.set(i, new Entry(e.call(), toRank, e.sinceMs()));
                e.call().queuedWith(toRank);
            }
        }
    }

    boolean remove(Call call) {
        return calls.removeIf(e -> e.call() == call);
    }

    int size() {
        return calls.size();
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** The versions that queued calls need because they continue streams. */
    Set<String> awaitedVersions() {
        Set<String> out = Set.of();
        for (Entry e : calls) {
            if (e.call().version().isPresent()) {
                out = out.isEmpty() ? new HashSet<>() : out;
                out.add(e.call().version().get());
            }
        }
        return out;
    }

    /** Like {@link #countSince}, for all calls. */
    Map<Integer, Integer> countByPrecedence(Predicate<Call> onTime) {
        return countSince(Long.MAX_VALUE, onTime);
    }

    /**
     * Number of calls per {@link Precedence} that were queued at or before a point in time, for other routers. These
     * would reserve slots of any version, so calls that continue streams are left out.
     */
    Map<Integer, Integer> countSince(long sinceMs, Predicate<Call> onTime) {
        Map<Integer, Integer> out = new HashMap<>();
        calls.stream()
                .filter(e -> e.sinceMs() <= sinceMs && e.call().version().isEmpty())
                .forEach(e -> out.merge(precedence(e, onTime), 1, Integer::sum));
        return out;
    }

    /** Removes and returns the matching calls. */
    List<Call> removeMatching(Predicate<Call> which) {
        List<Call> out = new ArrayList<>();
        calls.removeIf(e -> which.test(e.call()) && out.add(e.call()));
        return out;
    }

    /**
     * A queued call with its sort keys.
     *
     * @param entry the call
     * @param precedence its {@link Precedence}
     * @param late whether it can no longer be on time
     * @param aboveShare whether it is of a workspace above its share
     * @param number its arrival index
     */
    record OrderedCall(Entry entry, int precedence, boolean late, boolean aboveShare, int number) {}

    /** All calls in the order in which they are sent. */
    List<OrderedCall> inOrder(Predicate<Call> onTime) {
        List<OrderedCall> out = new ArrayList<>();
        for (int i = 0; i < calls.size(); i++) {
            Entry e = calls.get(i);
            boolean canBeOnTime = onTime.test(e.call());
            boolean above = aboveShare.test(e.call());
            out.add(new OrderedCall(e, order.precedence(e.rank(), canBeOnTime, above), !canBeOnTime, above, i));
        }
        out.sort(Comparator.comparingInt(OrderedCall::precedence)
                .thenComparing(OrderedCall::late)
                .thenComparing(t -> t.entry().call().isRepeat())
                .thenComparing(OrderedCall::aboveShare)
                .thenComparing(t -> !t.entry().isRetryOfItsRank())
                .thenComparingInt(OrderedCall::number));
        return out;
    }

    /**
     * Number of calls that precede a new call.
     *
     * @param precedence precedence of the new call
     */
    int ahead(int precedence, Predicate<Call> onTime) {
        return ahead(precedence, onTime, c -> true);
    }

    /**
     * Number of some calls that precede a new call.
     *
     * @param which the calls that are counted
     */
    int ahead(int precedence, Predicate<Call> onTime, Predicate<Call> which) {
        int n = 0;
        for (Entry e : calls) {
            n += which.test(e.call()) && precedence(e, onTime) <= precedence ? 1 : 0;
        }
        return n;
    }

    private int precedence(Entry e, Predicate<Call> onTime) {
        return order.precedence(e.rank(), onTime.test(e.call()), aboveShare.test(e.call()));
    }
}
