package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Which requests are kept from targets because they crash those that run them. A request is quarantined while it is
 * known to have been in {@link #CRASHES} crashes of different targets within {@link #REMEMBERED_MS}, and was answered
 * whole neither since nor shortly before. What routers know adds up in any order: a crash that is heard of twice counts
 * once.
 *
 * <p>As crashes are forgotten one by one, a quarantined request may run again now and then, so that a cure of the
 * targets shows.
 *
 * <p>Not thread-safe: one thread owns it. Times are milliseconds of one monotonic clock.
 */
public final class Quarantine {

    /** A request that was merely beside another one that is at fault is seldom in so many crashes. */
    static final int CRASHES = 3;

    /** How long a crash counts. */
    static final long REMEMBERED_MS = 600_000;

    /** A request that was answered whole so shortly before a crash is not to blame: many ask for the same thing. */
    static final long CLEARED_BEFORE_MS = 60_000;

    /** Requests with a crash that are remembered: a crash has as many suspects as the target had slots. */
    private static final int MOST_SUSPECTS = 4_096;

    /** Requests remembered as answered whole; each takes about 100 bytes. */
    private static final int MOST_ANSWERED = 2_048;

    private final Map<RequestFingerprint, Map<String, Long>> crashes = bounded(MOST_SUSPECTS);
    private final Map<RequestFingerprint, Long> answeredAtMs = bounded(MOST_ANSWERED);

    private Quarantine() {}

    /** Creates an empty one. */
    public static Quarantine create() {
        return new Quarantine();
    }

    private static <V> Map<RequestFingerprint, V> bounded(int most) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<RequestFingerprint, V> eldest) {
                return size() > most;
            }
        };
    }

    /** What comes of hearing of a crash. */
    public enum Effect {
        /** It was known, or is too old to count. */
        NONE,
        /** It is not blamed on the request, which was answered whole about then. */
        CLEARED,
        /** The request is a suspect. */
        SUSPECTED,
        /** The request is quarantined from now on. */
        QUARANTINED
    }

    /** Takes a crash in, seen here or heard of. */
    public Effect crashed(Crash crash, long nowMs) {
        if (nowMs - crash.atMs() >= REMEMBERED_MS) {
            return Effect.NONE;
        }
        RequestFingerprint request = crash.request();
        Long answered = answeredAtMs.get(request);
        if (answered != null && answered >= crash.atMs() - CLEARED_BEFORE_MS) {
            return Effect.CLEARED;
        }
        int before = crashesOf(request, nowMs);
        Map<String, Long> known = crashes.computeIfAbsent(request, r -> new HashMap<>());
        if (known.putIfAbsent(crash.incarnation(), crash.atMs()) != null) {
            return Effect.NONE;
        }
        return before == CRASHES - 1 ? Effect.QUARANTINED : Effect.SUSPECTED;
    }

    /**
     * Notes that a request was answered whole.
     *
     * @return whether it was a suspect
     */
    public boolean answered(RequestFingerprint request, long atMs) {
        // Taken out first, so that it is the newest.
        Long before = answeredAtMs.remove(request);
        answeredAtMs.put(request, before == null ? atMs : Math.max(before, atMs));
        Map<String, Long> known = crashes.get(request);
        if (known == null || !known.values().removeIf(crashedAtMs -> crashedAtMs <= atMs + CLEARED_BEFORE_MS)) {
            return false;
        }
        if (known.isEmpty()) {
            crashes.remove(request);
        }
        return true;
    }

    /** How long ago a request was last answered whole, as far as is remembered. */
    public OptionalLong answeredAgoMs(RequestFingerprint request, long nowMs) {
        Long atMs = answeredAtMs.get(request);
        return atMs == null ? OptionalLong.empty() : OptionalLong.of(nowMs - atMs);
    }

    /** True while no target may be given a request. */
    public boolean holds(RequestFingerprint request, long nowMs) {
        return crashesOf(request, nowMs) >= CRASHES;
    }

    /** False for a request that one more crash quarantines: it had better not be repeated on its caller's behalf. */
    public boolean mayBeRepeated(RequestFingerprint request, long nowMs) {
        return crashesOf(request, nowMs) < CRASHES - 1;
    }

    /** Targets that are known to have ended under a request. */
    public int crashesOf(RequestFingerprint request, long nowMs) {
        Map<String, Long> known = crashes.get(request);
        if (known == null) {
            return 0;
        }
        known.values().removeIf(atMs -> nowMs - atMs >= REMEMBERED_MS);
        if (known.isEmpty()) {
            crashes.remove(request);
        }
        return known.size();
    }

    /** Time until a quarantined request may run again if it crashes nothing more; 0 for one that is not quarantined. */
    public long endsInMs(RequestFingerprint request, long nowMs) {
        if (!holds(request, nowMs)) {
            return 0;
        }
        List<Long> newestFirst = crashes.get(request).values().stream()
                .sorted((a, b) -> Long.compare(b, a))
                .toList();
        return newestFirst.get(CRASHES - 1) + REMEMBERED_MS - nowMs;
    }

    /** Every crash that counts, for a router that knows nothing yet. */
    public List<Crash> crashes(long nowMs) {
        return crashesOfThoseWith(1, nowMs);
    }

    /** The crashes of the quarantined requests, for the record. */
    public List<Crash> crashesOfQuarantined(long nowMs) {
        return crashesOfThoseWith(CRASHES, nowMs);
    }

    private List<Crash> crashesOfThoseWith(int least, long nowMs) {
        List<Crash> out = new ArrayList<>();
        for (RequestFingerprint request : List.copyOf(crashes.keySet())) {
            if (crashesOf(request, nowMs) >= least) {
                crashes.get(request).forEach((incarnation, atMs) -> out.add(new Crash(request, incarnation, atMs)));
            }
        }
        return out;
    }

    /** Lifts every quarantine and forgets every crash. */
    public void lift() {
        crashes.clear();
    }
}
