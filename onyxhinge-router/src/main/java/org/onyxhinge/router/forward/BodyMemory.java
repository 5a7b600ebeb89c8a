package org.onyxhinge.router.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import org.onyxhinge.core.limit.MemoryBudget;

/**
 * The memory that the bodies of all exchanges take together: requests until their exchange ends, since another attempt
 * may need them, and buffered responses until they are written. Requests for which there is none are refused, because
 * another router can take them at once; responses, whose request has run, wait until there is some. Confined to the
 * event loop.
 *
 * <p>Responses of unknown length grow together only as long as enough is left for one of them to be completed. That
 * part is used by one at a time, so that they never wait for each other.
 */
final class BodyMemory {

    /** Part of the budget that one response of unknown length at a time may use. */
    private static final double COMPLETION_FRACTION = 0.4;

    private final BooleanSupplier relief;
    private final MemoryBudget budget;
    private final long completionBytes;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    /** Whose response of unknown length may use what is left for its completion; null if none does. */
    private Share completing;

    /** A reservation that is made as soon as there is memory for it. */
    private record Waiting(Share share, long bytes, boolean growth, Runnable onReserved) {}

    private BodyMemory(long totalBytes, BooleanSupplier relief) {
        this.relief = relief;
        this.budget = MemoryBudget.create(totalBytes);
        this.completionBytes = (long) (COMPLETION_FRACTION * totalBytes);
    }

    /**
     * Creates the memory of a router.
     *
     * @param relief gives up a request that does not arrive and releases its memory, where there is one
     */
    static BodyMemory create(long totalBytes, BooleanSupplier relief) {
        return new BodyMemory(totalBytes, relief);
    }

    /** Returns the share of an exchange, of which nothing is reserved. */
    Share share() {
        return new Share();
    }

    /** Whether responses wait for memory. */
    boolean isAwaited() {
        return !waiting.isEmpty();
    }

    /** Bytes that are reserved now. */
    long reservedBytes() {
        return budget.reservedBytes();
    }

    private void grantWaiting() {
        while (!waiting.isEmpty()) {
            Waiting first = waiting.getFirst();
            boolean dropped = first.share().released;
            if (!dropped && !first.share().tryTake(first.bytes(), first.growth())) {
                return;
            }
            waiting.removeFirst();
            if (!dropped) {
                first.onReserved().run();
            }
        }
    }

    /** What one exchange holds. */
    final class Share {

        private int rank;
        private long heldBytes;
        private int writes;
        private boolean released;

        /** Sets the urgency of the call, 0 being the most urgent. */
        void rank(int callRank) {
            rank = callRank;
        }

        /** Reserves memory for a request, if there is enough now and no large response waits for it. */
        boolean tryReserve(long bytes) {
            boolean reserved = tryReserve(bytes, false);
            while (!reserved && !released && fits(bytes) && relief.getAsBoolean()) {
                reserved = tryReserve(bytes, false);
            }
            return reserved;
        }

        /** Whether this much more can be held once others have released theirs. */
        boolean fits(long bytes) {
            return budget.fits(heldBytes + bytes, rank);
        }

        /**
         * Reserves memory for a response, if there is enough now and none waits for it already.
         *
         * @param growth whether the response may need more later
         */
        boolean tryReserve(long bytes, boolean growth) {
            return (waiting.isEmpty() || precedesWaiting(bytes)) && tryTake(bytes, growth);
        }

        /**
         * Reserves memory for a response once there is enough, after those that wait already. Nothing is called if the
         * exchange ends before.
         */
        void reserveLater(long bytes, boolean growth, Runnable onReserved) {
            Waiting reservation = new Waiting(this, bytes, growth, onReserved);
            if (precedesWaiting(bytes)) {
                waiting.addFirst(reservation);
            } else {
                waiting.addLast(reservation);
            }
        }

        private boolean precedesWaiting(long bytes) {
            return this == completing || MemoryBudget.isSmall(heldBytes + bytes);
        }

        private boolean tryTake(long bytes, boolean growth) {
            boolean large = !MemoryBudget.isSmall(heldBytes + bytes);
            boolean completes = growth && large && !budget.leaves(completionBytes, bytes, rank);
            boolean othersFirst = completes && completing != null && completing != this;
            if (released || othersFirst || !budget.tryReserve(bytes, heldBytes, completes ? 0 : rank)) {
                return false;
            }
            if (completes) {
                completing = this;
            }
            heldBytes += bytes;
            return true;
        }

        /** The response is complete. */
        void grown() {
            if (completing == this) {
                completing = null;
                grantWaiting();
            }
        }

        /** Keeps what is held until a write has ended, even if the exchange ends before. */
        void keepDuring(Future<Void> write) {
            writes++;
            write.onComplete(r -> {
                writes--;
                releaseUnused();
            });
        }

        /** Releases all when the exchange ends. */
        void release() {
            released = true;
            grown();
            releaseUnused();
        }

        private void releaseUnused() {
            if (released && writes == 0) {
                budget.release(heldBytes);
                heldBytes = 0;
                grantWaiting();
            }
        }
    }
}
