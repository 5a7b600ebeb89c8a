package org.onyxhinge.core.place;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeSet;

/**
 * Calls of one service that wait for room: by rank, callers who were sent away and came back first within
 * a rank, then by arrival.
 */
final class WaitingCalls implements Iterable<Call> {

    private final TreeSet<Entry> entries = new TreeSet<>(Comparator.comparingInt((Entry e) -> e.call.rank())
            .thenComparing(e -> !e.call.returned())
            .thenComparingLong(e -> e.number));
    private long nextNumber;

    private record Entry(Call call, long number) {}

    void add(Call call) {
        entries.add(new Entry(call, nextNumber++));
    }

    boolean remove(Call call) {
        return entries.removeIf(e -> e.call == call);
    }

    int size() {
        return entries.size();
    }

    /** Calls that go before a newcomer of {@code rank}. */
    int ahead(int rank) {
        int n = 0;
        for (Entry e : entries) {
            if (e.call.rank() > rank) {
                break;
            }
            n++;
        }
        return n;
    }

    @Override
    public Iterator<Call> iterator() {
        Iterator<Entry> inner = entries.iterator();
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return inner.hasNext();
            }

            @Override
            public Call next() {
                return inner.next().call;
            }

            @Override
            public void remove() {
                inner.remove();
            }
        };
    }
}
