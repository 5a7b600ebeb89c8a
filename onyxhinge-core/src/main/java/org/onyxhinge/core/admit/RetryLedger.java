package org.onyxhinge.core.admit;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Counts by time slot how many refused callers were told to retry then, for each service: by this router, and by those
 * routers whose refusals it receives. It chooses the time of the next retry such that the retries arrive when there is
 * room for them, and never as a wave.
 *
 * <p>A refusal of another router does not name the service. Such refusals count for each service by its part of this
 * router's own refusals: callers choose any router, so the mix is alike everywhere.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 */
public final class RetryLedger {

    /** Length of a time slot: long enough for several retries, short compared with the deadlines of first bytes. */
    public static final long SLOT_MS = 100;

    /** More than the longest retry delay; a power of two. */
    private static final int SLOTS = 64;

    /** Time constant of the counts of refusals: long enough for some tens of them in an overload. */
    private static final double TIME_CONSTANT_MS = 5_000;

    /** Refusals without which the own ones are too few to compare the others with. */
    private static final double MIN_REFUSALS = 4;

    private static final double MS_PER_SECOND = 1_000;

    private final SplittableRandom random;
    /** Shifts the time slots in which this router has room for a call if its part of the room is less than one call. */
    private final double phase;

    private final Map<String, Promises> own = new HashMap<>();
    private final Promises ofPeers = new Promises();
    /** Refusals of this router, and those received from others, decaying. */
    private double ownRefusals;

    private double peerRefusals;
    private long decayedAtMs;

    /** Promises by time slot, in a ring. */
    private static final class Promises {
        private final int[] counts = new int[SLOTS];
        private final long[] slots = new long[SLOTS];
        /** Number of promises made, decaying. */
        private double recent;

        void add(long slot) {
            int i = Math.floorMod(slot, SLOTS);
            if (slots[i] != slot) {
                slots[i] = slot;
                counts[i] = 0;
            }
            counts[i]++;
        }

        int at(long slot) {
            int i = Math.floorMod(slot, SLOTS);
            return slots[i] == slot ? counts[i] : 0;
        }

        int from(long slot) {
            int sum = 0;
            for (int i = 0; i < SLOTS; i++) {
                sum += slots[i] >= slot ? counts[i] : 0;
            }
            return sum;
        }
    }

    private RetryLedger(long seed) {
        this.random = new SplittableRandom(seed);
        this.phase = random.nextDouble();
    }

    /**
     * Creates an empty ledger.
     *
     * @param seed differs between routers, so that routers that do not know each other's promises choose different
     *     times
     */
    public static RetryLedger create(long seed) {
        return new RetryLedger(seed);
    }

    /**
     * Returns when a refused caller should retry: in the earliest time slot with room, or else in the one with the
     * fewest promises.
     *
     * @param roomPerSecond retries per second that all routers together can serve
     * @param routers number of routers that share this room, including this one
     */
    public long retryAtMs(
            String service, double roomPerSecond, int routers, long earliestMs, long latestMs, long nowMs) {
        Promises promises = own.computeIfAbsent(service, s -> new Promises());
        decay(nowMs);
        double peerWeight = Math.min(1, (promises.recent + 1) / (ownRefusals + 1));
        double knownPart = Math.min(1, knownRouters() / routers);
        double roomPerSlot = Math.max(0, roomPerSecond) * knownPart * SLOT_MS / MS_PER_SECOND;
        long first = earliestMs / SLOT_MS;
        long last = Math.max(first, latestMs / SLOT_MS);
        long best = first;
        double fewest = Double.MAX_VALUE;
        for (long slot = first; slot <= last; slot++) {
            double promised = promises.at(slot) + peerWeight * ofPeers.at(slot);
            double room = Math.floor((slot + 1) * roomPerSlot + phase) - Math.floor(slot * roomPerSlot + phase);
            if (promised + 1 <= room) {
                best = slot;
                break;
            }
            if (promised < fewest) {
                best = slot;
                fewest = promised;
            }
        }
        long withinSlotMs = best * SLOT_MS + random.nextLong(SLOT_MS);
        return Math.max(earliestMs, Math.min(latestMs, withinSlotMs));
    }

    /** Counts a retry that the caller of a refused call of this router was promised. */
    public void promised(String service, long retryAtMs, long nowMs) {
        decay(nowMs);
        Promises promises = own.computeIfAbsent(service, s -> new Promises());
        promises.add(retryAtMs / SLOT_MS);
        promises.recent++;
    }

    /** Counts a refusal that this router sends its peers, for any reason and with or without a promise. */
    public void refusalSent(long nowMs) {
        decay(nowMs);
        ownRefusals++;
    }

    /** Counts a retry that a caller was told by another router. */
    public void toldByPeer(long retryAtMs, long nowMs) {
        decay(nowMs);
        peerRefusals++;
        if (retryAtMs >= nowMs && retryAtMs < nowMs + (SLOTS - 1) * SLOT_MS) {
            ofPeers.add(retryAtMs / SLOT_MS);
        }
    }

    /** Number of routers whose refusals are known, this one included: each router refuses about as many. */
    private double knownRouters() {
        return 1 + peerRefusals / (ownRefusals + MIN_REFUSALS);
    }

    private void decay(long nowMs) {
        if (nowMs > decayedAtMs) {
            double factor = Math.exp(-(nowMs - decayedAtMs) / TIME_CONSTANT_MS);
            ownRefusals *= factor;
            peerRefusals *= factor;
            own.values().forEach(p -> p.recent *= factor);
            decayedAtMs = nowMs;
        }
    }

    /** Number of own promises from now on, by service. */
    public Map<String, Integer> ownPromises(long nowMs) {
        Map<String, Integer> out = new HashMap<>();
        own.forEach((service, promises) -> out.put(service, promises.from(nowMs / SLOT_MS)));
        return out;
    }

    /** Number of retries told by other routers from now on. */
    public int peerPromises(long nowMs) {
        return ofPeers.from(nowMs / SLOT_MS);
    }
}
