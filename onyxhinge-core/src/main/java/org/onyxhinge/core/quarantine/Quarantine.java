package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Requests and parts of prompts that are withheld from targets because they crash the targets that run them.
 *
 * <p>The evidence against a suspect is the crashes of different targets within {@link #CRASH_RETENTION_MS} that
 * involved it. A complete answer refutes the crashes before it was sent, and weakens those that follow soon after:
 * popular suspects run in many places at once. A suspect is quarantined by {@link #CRASH_THRESHOLD} crashes, or by
 * {@link #WEAK_CRASH_THRESHOLD} if all of them are weakened. The state does not depend on the order in which routers
 * learn of crashes and answers, and a crash reported twice counts once.
 *
 * <p>Crashes expire one by one, so what is quarantined may occasionally run again, which shows whether the targets have
 * been fixed.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 */
public final class Quarantine {

    /** A suspect that merely ran alongside the one at fault is rarely involved in this many crashes. */
    static final int CRASH_THRESHOLD = 3;

    /** The same for a suspect that was answered shortly before, unless the crashes have another explanation. */
    static final int WEAK_CRASH_THRESHOLD = 5;

    /** How long a crash counts. */
    static final long CRASH_RETENTION_MS = 600_000;

    /** How long after a call was sent that was answered completely the evidence of a crash is weak. */
    static final long SUCCESS_GRACE_MS = 60_000;

    /** Targets that end within this time may have ended together, for example with the host they run on. */
    static final long SIMULTANEOUS_MS = 100;

    /** Time after the end of a trial within which it is known whether its target has crashed. */
    static final long TRIAL_PAUSE_MS = 300;

    /** Time of an answer to a suspect that has not been answered; far enough from the limits to be added to. */
    public static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** Maximum number of suspects; a crash yields a few for each slot of the target. */
    private static final int MAX_SUSPECTS = 4_096;

    /** Maximum number of completely answered suspects kept, at about 100 bytes each. */
    private static final int MAX_ANSWERED = 8_192;

    /** The suspects whose crashes are the most recent are kept. */
    private final Map<Fingerprint, CrashHistory> crashes = BoundedMap.dropOldest(MAX_SUSPECTS);

    /** When the last call was sent that was answered completely. */
    private final Map<Fingerprint, Long> answeredSentAtMs = BoundedMap.dropOldest(MAX_ANSWERED);

    /** Until when no further trial of a suspect begins. */
    private final Map<Fingerprint, Long> trialUntilMs = new HashMap<>();

    /** Suspects that are quarantined because of crashes before this start of the system, on weak evidence. */
    private final Set<Fingerprint> inherited = new HashSet<>();

    private final BooleanSupplier triesInherited;
    private long liftedAtMs = NEVER_MS;

    private Quarantine(BooleanSupplier triesInherited) {
        this.triesInherited = triesInherited;
    }

    /** Creates an empty quarantine. */
    public static Quarantine create() {
        return create(() -> false);
    }

    /**
     * Creates an empty quarantine.
     *
     * @param triesInherited whether this router is the one to try what was quarantined before the system started
     */
    public static Quarantine create(BooleanSupplier triesInherited) {
        return new Quarantine(triesInherited);
    }

    /** What a crash says about a suspect, given when its last answered call was sent. */
    private enum Evidence {
        /** The suspect has been answered since. */
        REFUTED,
        /** The suspect was answered shortly before. */
        WEAK,
        /** No answer speaks for the suspect. */
        FIRM
    }

    /** Effect of a reported crash. */
    public enum Effect {
        /** The crash was already known, is too old to count, or was before the quarantines were lifted. */
        NONE,
        /** The suspect is not blamed, because it was answered completely at about that time. */
        CLEARED,
        /** The crash counts against the suspect. */
        SUSPECTED,
        /** The suspect is quarantined as of this crash. */
        QUARANTINED
    }

    /** Whether a request may be sent to a target. */
    public enum Decision {
        /** Nothing in it is quarantined. */
        SEND,
        /** One request at a time may be sent: something else may be to blame for the crashes. */
        TRY,
        /** The request must not be sent. */
        WITHHOLD
    }

    /** Records a crash, either observed here or reported by a peer. */
    public Effect recordCrash(Crash crash, long nowMs) {
        if (nowMs - crash.atMs() >= CRASH_RETENTION_MS || crash.atMs() <= liftedAtMs) {
            return Effect.NONE;
        }
        Fingerprint suspect = crash.suspect();
        long answeredMs = answeredSentAtMs(suspect);
        if (evidence(crash.atMs(), answeredMs) == Evidence.REFUTED) {
            return Effect.CLEARED;
        }
        boolean heldBefore = holds(suspect, nowMs);
        int firmBefore = crashesOf(suspect, nowMs);
        // Removed first so that reinsertion makes it the newest entry.
        CrashHistory history = Optional.ofNullable(crashes.remove(suspect)).orElseGet(CrashHistory::new);
        crashes.put(suspect, history);
        boolean known = history.involves(crash.incarnation());
        history.add(crash.incarnation(), crash.atMs());
        if (!known) {
            inherited.remove(suspect);
        }
        if (!heldBefore && holds(suspect, nowMs)) {
            return Effect.QUARANTINED;
        }
        if (crashesOf(suspect, nowMs) > firmBefore) {
            return Effect.SUSPECTED;
        }
        return known ? Effect.NONE : Effect.CLEARED;
    }

    private long answeredSentAtMs(Fingerprint suspect) {
        return answeredSentAtMs.getOrDefault(suspect, NEVER_MS);
    }

    private static Evidence evidence(long crashAtMs, long answeredMs) {
        if (crashAtMs <= answeredMs) {
            return Evidence.REFUTED;
        }
        return crashAtMs <= answeredMs + SUCCESS_GRACE_MS ? Evidence.WEAK : Evidence.FIRM;
    }

    /**
     * Whether an answer says more about a crash of the same suspect than an earlier one does.
     *
     * @param answeredMs when the answered call was sent
     * @param earlierMs when the call of the earlier answer was sent
     */
    public static boolean saysMore(long answeredMs, long earlierMs, Crash crash) {
        return evidence(crash.atMs(), answeredMs).compareTo(evidence(crash.atMs(), earlierMs)) < 0;
    }

    /**
     * Records that a suspect was answered completely.
     *
     * @param sentAtMs when the answered call was sent
     * @return whether this refutes or weakens a crash
     */
    public boolean answered(Fingerprint suspect, long sentAtMs) {
        // Removed first so that reinsertion makes it the newest entry.
        Long before = answeredSentAtMs.remove(suspect);
        long newest = before == null ? sentAtMs : Math.max(before, sentAtMs);
        answeredSentAtMs.put(suspect, newest);
        CrashHistory history = crashes.get(suspect);
        if (history == null) {
            return false;
        }
        int firmBefore = history.countAfter((before == null ? NEVER_MS : before) + SUCCESS_GRACE_MS);
        boolean refuted = history.removeUntil(newest);
        boolean weakened = history.countAfter(newest + SUCCESS_GRACE_MS) < firmBefore;
        if (history.isEmpty()) {
            crashes.remove(suspect);
        }
        return refuted || weakened;
    }

    /**
     * Records that all known crashes of some suspects come from before the system started. No call with them is in
     * progress that could refute these, and where the evidence is weak, as for a part that all prompts share, it takes
     * an answer to do so: one router tries one request at a time, until there is an answer or another crash.
     */
    public void inherit(Collection<Fingerprint> suspects, long nowMs) {
        suspects.stream().filter(s -> holds(s, nowMs) && !holdsFirmly(s, nowMs)).forEach(inherited::add);
    }

    /** Whether a crash of a suspect is known. */
    public boolean isSuspected(Fingerprint suspect) {
        return crashes.containsKey(suspect);
    }

    /** Whether something in a request is quarantined only because of crashes from before the system started. */
    public boolean isInherited(Suspects request, long nowMs) {
        return request.all().stream().anyMatch(s -> isInherited(s, nowMs));
    }

    private boolean isInherited(Fingerprint suspect, long nowMs) {
        return inherited.contains(suspect) && !holdsFirmly(suspect, nowMs);
    }

    /** Time since the last completely answered call of a suspect was sent, if still known. */
    public OptionalLong answeredAgoMs(Fingerprint suspect, long nowMs) {
        Long atMs = answeredSentAtMs.get(suspect);
        return atMs == null ? OptionalLong.empty() : OptionalLong.of(nowMs - atMs);
    }

    /** True while a suspect is quarantined. */
    public boolean holds(Fingerprint suspect, long nowMs) {
        return holdsFirmly(suspect, nowMs) || holdsOnWeakEvidence(suspect, nowMs);
    }

    private boolean holdsFirmly(Fingerprint suspect, long nowMs) {
        return crashesOf(suspect, nowMs) >= CRASH_THRESHOLD;
    }

    /** Crashes that involved a firmly quarantined suspect say nothing about the others. */
    private boolean holdsOnWeakEvidence(Fingerprint suspect, long nowMs) {
        CrashHistory history = crashes.get(suspect);
        if (history == null || history.size() < WEAK_CRASH_THRESHOLD) {
            return false;
        }
        List<CrashHistory> firm = crashes.entrySet().stream()
                .filter(e -> !e.getKey().equals(suspect) && holdsFirmlyNow(e.getKey(), e.getValue(), nowMs))
                .map(Map.Entry::getValue)
                .toList();
        return history.distinctTimes(i -> firm.stream().noneMatch(f -> f.involves(i)), SIMULTANEOUS_MS)
                >= WEAK_CRASH_THRESHOLD;
    }

    private boolean holdsFirmlyNow(Fingerprint suspect, CrashHistory history, long nowMs) {
        long countedAfterMs = Math.max(nowMs - CRASH_RETENTION_MS, answeredSentAtMs(suspect) + SUCCESS_GRACE_MS);
        return history.countAfter(countedAfterMs) >= CRASH_THRESHOLD;
    }

    /** Whether a request may be sent to a target. */
    public Decision decide(Suspects request, long nowMs) {
        Decision decision = Decision.SEND;
        for (Fingerprint suspect : request.all()) {
            if (holds(suspect, nowMs)) {
                if (!isContested(suspect, request, nowMs)) {
                    return Decision.WITHHOLD;
                }
                decision = Decision.TRY;
            }
        }
        return decision;
    }

    /**
     * Whether something else than a quarantined suspect of a request may be to blame: each of its crashes involved a
     * quarantined suspect that the request does not contain, or different requests with the suspect ran on targets that
     * ended together, or the suspect is inherited and this router tries it.
     */
    private boolean isContested(Fingerprint suspect, Suspects request, long nowMs) {
        CrashHistory history = crashes.get(suspect);
        boolean isPart = !suspect.equals(request.request());
        if (isPart && history.distinctTimes(i -> true, SIMULTANEOUS_MS) == 1) {
            return true;
        }
        if (isInherited(suspect, nowMs) && triesInherited.getAsBoolean()) {
            return true;
        }
        List<CrashHistory> others = List.copyOf(crashes.keySet()).stream()
                .filter(s -> !request.contain(s) && holds(s, nowMs))
                .map(crashes::get)
                .toList();
        return history.incarnations().stream().allMatch(i -> others.stream().anyMatch(o -> o.involves(i)));
    }

    /**
     * Claims the single trial of what is quarantined in a request, as {@link Decision#TRY} allows; false if one is
     * under way.
     */
    public boolean beginTrial(Suspects request, long nowMs) {
        if (isOnTrial(request, nowMs)) {
            return false;
        }
        request.all().stream().filter(s -> holds(s, nowMs)).forEach(s -> trialUntilMs.put(s, Long.MAX_VALUE));
        return true;
    }

    /** Whether a request contains something that is on trial. */
    public boolean isOnTrial(Suspects request, long nowMs) {
        trialUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        return request.all().stream().anyMatch(trialUntilMs::containsKey);
    }

    /** Ends the trial that a request had claimed. */
    public void endTrial(Suspects request, long nowMs) {
        request.all().forEach(s -> trialUntilMs.computeIfPresent(s, (k, v) -> nowMs + TRIAL_PAUSE_MS));
    }

    /**
     * False for a request that one more crash would quarantine, which should not be retried on its caller's behalf.
     */
    public boolean mayBeRepeated(Suspects request, long nowMs) {
        return request.all().stream().allMatch(s -> mayBeRepeated(s, nowMs));
    }

    boolean mayBeRepeated(Fingerprint suspect, long nowMs) {
        CrashHistory history = crashes.get(suspect);
        return history == null
                || crashesOf(suspect, nowMs) < CRASH_THRESHOLD - 1 && history.size() < WEAK_CRASH_THRESHOLD - 1;
    }

    /** Number of targets known to have ended while running a suspect, without the crashes weakened by an answer. */
    public int crashesOf(Fingerprint suspect, long nowMs) {
        CrashHistory history = crashes.get(suspect);
        if (history == null) {
            return 0;
        }
        history.removeUntil(nowMs - CRASH_RETENTION_MS);
        if (history.isEmpty()) {
            crashes.remove(suspect);
        }
        return history.countAfter(answeredSentAtMs(suspect) + SUCCESS_GRACE_MS);
    }

    /** Time until a quarantined suspect may run again without further crashes; 0 for one that is not quarantined. */
    public long endsInMs(Fingerprint suspect, long nowMs) {
        if (!holds(suspect, nowMs)) {
            return 0;
        }
        int needed = holdsFirmly(suspect, nowMs) ? CRASH_THRESHOLD : WEAK_CRASH_THRESHOLD;
        return crashes.get(suspect).newestAtMs(needed - 1) + CRASH_RETENTION_MS - nowMs;
    }

    /** All crashes that count, for a router that has no state yet. */
    public List<Crash> crashes(long nowMs) {
        List<Crash> out = new ArrayList<>();
        for (Fingerprint suspect : List.copyOf(crashes.keySet())) {
            addCrashes(suspect, nowMs, out);
        }
        return out;
    }

    /** The crashes of the quarantined suspects, for the stored record. */
    public List<Crash> crashesOfQuarantined(long nowMs) {
        List<Crash> out = new ArrayList<>();
        for (Fingerprint suspect : List.copyOf(crashes.keySet())) {
            if (holds(suspect, nowMs)) {
                addCrashes(suspect, nowMs, out);
            }
        }
        return out;
    }

    private void addCrashes(Fingerprint suspect, long nowMs, List<Crash> out) {
        crashesOf(suspect, nowMs);
        CrashHistory history = crashes.get(suspect);
        if (history != null) {
            history.all().forEach((incarnation, atMs) -> out.add(new Crash(suspect, incarnation, atMs)));
        }
    }

    /** Whether a crash is known to say little about its suspect, because of an answer, and does not quarantine it. */
    public boolean isRefuted(Crash crash, long nowMs) {
        return evidence(crash.atMs(), answeredSentAtMs(crash.suspect())) != Evidence.FIRM
                && !holds(crash.suspect(), nowMs);
    }

    /** Lifts all quarantines and discards all crashes until now, also those that are reported only later. */
    public void lift(long nowMs) {
        liftedAtMs = nowMs;
        crashes.clear();
        inherited.clear();
        trialUntilMs.clear();
    }
}
