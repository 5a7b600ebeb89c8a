package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Requests that are withheld from targets because they crash the targets that run them. A request is quarantined while
 * at least {@link #CRASH_THRESHOLD} crashes of different targets within {@link #CRASH_RETENTION_MS} are known for it,
 * provided that it was not answered completely since, or shortly before, those crashes. The state does not depend on
 * the order in which routers learn of crashes, and a crash reported twice counts once.
 *
 * <p>Crashes expire one by one, so a quarantined request may occasionally run again, which shows whether the targets
 * have been fixed.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 */
public final class Quarantine {

    /** A request that merely ran alongside the one at fault is rarely involved in this many crashes. */
    static final int CRASH_THRESHOLD = 3;

    /** How long a crash counts. */
    static final long CRASH_RETENTION_MS = 600_000;

    /**
     * A request answered completely this shortly before a crash is not blamed: popular requests run in many places at
     * once.
     */
    static final long SUCCESS_GRACE_MS = 60_000;

    /** Maximum number of suspected requests; a crash yields as many suspects as the target had slots. */
    private static final int MAX_SUSPECTS = 4_096;

    /** Maximum number of completely answered requests kept, at about 100 bytes each. */
    private static final int MAX_ANSWERED = 2_048;

    private final Map<Fingerprint, Map<String, Long>> crashes = BoundedMap.dropOldest(MAX_SUSPECTS);
    private final Map<Fingerprint, Long> answeredAtMs = BoundedMap.dropOldest(MAX_ANSWERED);

    private Quarantine() {}

    /** Creates an empty quarantine. */
    public static Quarantine create() {
        return new Quarantine();
    }

    /** Effect of a reported crash. */
    public enum Effect {
        /** The crash was already known, or is too old to count. */
        NONE,
        /** The request is not blamed, because it was answered completely at about that time. */
        CLEARED,
        /** The request is a suspect. */
        SUSPECTED,
        /** The request is quarantined as of this crash. */
        QUARANTINED
    }

    /** Records a crash, either observed here or reported by a peer. */
    public Effect recordCrash(Crash crash, long nowMs) {
        if (nowMs - crash.atMs() >= CRASH_RETENTION_MS) {
            return Effect.NONE;
        }
        Fingerprint request = crash.request();
        Long answered = answeredAtMs.get(request);
        if (answered != null && answered >= crash.atMs() - SUCCESS_GRACE_MS) {
            return Effect.CLEARED;
        }
        int before = crashesOf(request, nowMs);
        Map<String, Long> known = crashes.computeIfAbsent(request, r -> new HashMap<>());
        if (known.putIfAbsent(crash.incarnation(), crash.atMs()) != null) {
            return Effect.NONE;
        }
        return before == CRASH_THRESHOLD - 1 ? Effect.QUARANTINED : Effect.SUSPECTED;
    }

    /**
     * Records that a request was answered completely.
     *
     * @return whether it was a suspect
     */
    public boolean answered(Fingerprint request, long atMs) {
        // Removed first so that reinsertion makes it the newest entry.
        Long before = answeredAtMs.remove(request);
        answeredAtMs.put(request, before == null ? atMs : Math.max(before, atMs));
        Map<String, Long> known = crashes.get(request);
        if (known == null || !known.values().removeIf(crashedAtMs -> crashedAtMs <= atMs + SUCCESS_GRACE_MS)) {
            return false;
        }
        if (known.isEmpty()) {
            crashes.remove(request);
        }
        return true;
    }

    /** Time since a request was last answered completely, if still known. */
    public OptionalLong answeredAgoMs(Fingerprint request, long nowMs) {
        Long atMs = answeredAtMs.get(request);
        return atMs == null ? OptionalLong.empty() : OptionalLong.of(nowMs - atMs);
    }

    /** True while a request must not be sent to any target. */
    public boolean holds(Fingerprint request, long nowMs) {
        return crashesOf(request, nowMs) >= CRASH_THRESHOLD;
    }

    /**
     * False for a request that one more crash would quarantine, which should not be retried on its caller's behalf.
     */
    public boolean mayBeRepeated(Fingerprint request, long nowMs) {
        return crashesOf(request, nowMs) < CRASH_THRESHOLD - 1;
    }

    /** Number of targets known to have ended while running a request. */
    public int crashesOf(Fingerprint request, long nowMs) {
        Map<String, Long> known = crashes.get(request);
        if (known == null) {
            return 0;
        }
        known.values().removeIf(atMs -> nowMs - atMs >= CRASH_RETENTION_MS);
        if (known.isEmpty()) {
            crashes.remove(request);
        }
        return known.size();
    }

    /** Time until a quarantined request may run again without further crashes; 0 for one that is not quarantined. */
    public long endsInMs(Fingerprint request, long nowMs) {
        if (!holds(request, nowMs)) {
            return 0;
        }
        List<Long> newestFirst = crashes.get(request).values().stream()
                .sorted((a, b) -> Long.compare(b, a))
                .toList();
        return newestFirst.get(CRASH_THRESHOLD - 1) + CRASH_RETENTION_MS - nowMs;
    }

    /** All crashes that count, for a router that has no state yet. */
    public List<Crash> crashes(long nowMs) {
        return crashesOfRequestsWithAtLeast(1, nowMs);
    }

    /** The crashes of the quarantined requests, for the stored record. */
    public List<Crash> crashesOfQuarantined(long nowMs) {
        return crashesOfRequestsWithAtLeast(CRASH_THRESHOLD, nowMs);
    }

    private List<Crash> crashesOfRequestsWithAtLeast(int minCrashes, long nowMs) {
        List<Crash> out = new ArrayList<>();
        for (Fingerprint request : List.copyOf(crashes.keySet())) {
            if (crashesOf(request, nowMs) >= minCrashes) {
                crashes.get(request).forEach((incarnation, atMs) -> out.add(new Crash(request, incarnation, atMs)));
            }
        }
        return out;
    }

    /** Lifts all quarantines and discards all crashes. */
    public void lift() {
        crashes.clear();
    }
}
