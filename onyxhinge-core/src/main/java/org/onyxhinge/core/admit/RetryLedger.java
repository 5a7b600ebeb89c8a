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

    /**
     * Number of random time slots among which the one with the fewest promises is chosen if none has room. If all were
     * compared, routers that have the same news would choose the same one.
     */
    private static final int CHOICES = 3;

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
     * Returns when a refused caller should retry: in the earliest time slot with room, or else in one with few
     * promises.
     *
     * @param roomPerSecond retries per second that all routers together can serve
     * @param routers number of routers that share this room, including this one
     */
    public long retryAtMs(
            String service, double roomPerSecond, int routers, long earliestMs, long latestMs, long nowMs) {
        Promises promises = own.computeIfAbsent(service, s -> new Promises());
        decay(nowMs);
        double peerWeight = Math.min(1, (promises.recent + 1) / (ownRefusals + 1));
        double ownPerSlot = Math.max(0, roomPerSecond) / routers * SLOT_MS / MS_PER_SECOND;
        double knownPerSlot = ownPerSlot * Math.min(routers, knownRouters());
        long first = earliestMs / SLOT_MS;
        long last = Math.max(first, latestMs / SLOT_MS);
        for (long slot = first; slot <= last; slot++) {
            // The news of peers is some tens of ms old, so no router takes more than its own part of a time slot.
            if (promises.at(slot) + 1 <= room(slot, ownPerSlot)
                    && promisedAt(slot, promises, peerWeight) + 1 <= room(slot, knownPerSlot)) {
                return timeIn(slot, earliestMs, latestMs);
            }
        }
        long best = first + random.nextLong(last - first + 1);
        for (int i = 1; i < CHOICES; i++) {
            long slot = first + random.nextLong(last - first + 1);
            if (promisedAt(slot, promises, peerWeight) < promisedAt(best, promises, peerWeight)) {
                best = slot;
            }
        }
        return timeIn(best, earliestMs, latestMs);
    }

    /** Room of a time slot in whole calls; the fractions add up over the time slots. */
    private double room(long slot, double perSlot) {
        return Math.floor((slot + 1) * perSlot + phase) - Math.floor(slot * perSlot + phase);
    }

    private double promisedAt(long slot, Promises promises, double peerWeight) {
        return promises.at(slot) + peerWeight * ofPeers.at(slot);
    }

    private long timeIn(long slot, long earliestMs, long latestMs) {
        return Math.max(earliestMs, Math.min(latestMs, slot * SLOT_MS + random.nextLong(SLOT_MS)));
    }

    /** Counts a retry that the caller of a refused call of this router was promised. */
    public void promised(String service, long retryAtMs, long nowMs) {
        decay(nowMs);
        Promises promises = own.computeIfAbsent(service, s -> new Promises());
        promises.add(retryAtMs / SLOT_MS);
        promises.recent++;
    }

    /** Forgets the promises of a service. */
    public void forget(String service) {
        own.remove(service);
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
