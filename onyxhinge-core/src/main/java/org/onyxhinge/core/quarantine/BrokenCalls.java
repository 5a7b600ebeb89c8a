package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.onyxhinge.core.collect.BoundedMap;

/**
 * Calls whose connection to a target broke, kept until it is known whether the target has ended. A connection may break
 * for other reasons, which are no evidence against the call.
 *
 * <p>Not thread-safe: confined to one thread. Times are milliseconds of one monotonic clock.
 */
public final class BrokenCalls {

    /**
     * Upper bound on the time to detect the end of a target, whose registration lapses after a few missed heartbeats.
     */
    private static final long DETECTION_TIMEOUT_MS = 10_000;

    /** Bytes that a target sent before it ended may be read up to this long after a connection to it broke. */
    private static final long MAX_READ_DELAY_MS = 250;

    /** More than targets end within the detection timeout. */
    private static final int MAX_ENDED = 1_024;

    private final Map<String, List<BrokenCall>> byIncarnation = new HashMap<>();

    /** When the incarnations were found to have ended whose calls are no longer kept. */
    private final Map<String, Long> endedAtMs = BoundedMap.dropOldest(MAX_ENDED);

    private record BrokenCall(Suspects suspects, long atMs) {}

    private BrokenCalls() {}

    /** Creates an empty instance. */
    public static BrokenCalls create() {
        return new BrokenCalls();
    }

    /** Records a call whose connection broke; true for the first call of an incarnation whose end is not known yet. */
    public boolean broke(Suspects suspects, String incarnation, long nowMs) {
        byIncarnation.values().removeIf(calls -> nowMs - calls.getLast().atMs() > DETECTION_TIMEOUT_MS);
        List<BrokenCall> calls = byIncarnation.computeIfAbsent(incarnation, i -> new ArrayList<>());
        calls.add(new BrokenCall(suspects, nowMs));
        return calls.size() == 1;
    }

    /** Whether an incarnation was recently found to have ended: further calls that break there broke with it. */
    public boolean hasEnded(String incarnation, long nowMs) {
        Long atMs = endedAtMs.get(incarnation);
        return atMs != null && nowMs - atMs <= DETECTION_TIMEOUT_MS;
    }

    /**
     * Whether an incarnation may have ended when its calls broke: no bytes have been received from it since.
     *
     * @param heardAtMs when bytes were last received from it
     */
    public boolean mayHaveEnded(String incarnation, long heardAtMs) {
        List<BrokenCall> calls = byIncarnation.get(incarnation);
        return calls != null && heardAtMs <= calls.getLast().atMs() + MAX_READ_DELAY_MS;
    }

    /**
     * Removes the calls that broke at an incarnation that has ended, except those after which bytes were still received
     * from it, and returns one crash for each of their suspects.
     *
     * @param heardAtMs when bytes were last received from it
     */
    public List<Crash> ended(String incarnation, long heardAtMs, long nowMs) {
        List<BrokenCall> calls = byIncarnation.remove(incarnation);
        if (calls == null) {
            return List.of();
        }
        endedAtMs.putIfAbsent(incarnation, nowMs);
        Map<Fingerprint, Crash> bySuspect = new LinkedHashMap<>();
        for (BrokenCall call : calls) {
            if (nowMs - call.atMs() <= DETECTION_TIMEOUT_MS && heardAtMs <= call.atMs() + MAX_READ_DELAY_MS) {
                for (Fingerprint s : call.suspects().all()) {
                    bySuspect.putIfAbsent(s, new Crash(s, incarnation, call.atMs()));
                }
            }
        }
        return List.copyOf(bySuspect.values());
    }
}
