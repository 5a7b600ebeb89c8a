package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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

    private final Map<String, List<Crash>> byIncarnation = new HashMap<>();

    private BrokenCalls() {}

    /** Creates an empty instance. */
    public static BrokenCalls create() {
        return new BrokenCalls();
    }

    /** Records a call whose connection broke; true for the first call of an incarnation whose end is not known yet. */
    public boolean broke(Fingerprint request, String incarnation, long nowMs) {
        byIncarnation.values().removeIf(calls -> nowMs - calls.getLast().atMs() > DETECTION_TIMEOUT_MS);
        List<Crash> calls = byIncarnation.computeIfAbsent(incarnation, i -> new ArrayList<>());
        calls.add(new Crash(request, incarnation, nowMs));
        return calls.size() == 1;
    }

    /**
     * Whether an incarnation may have ended when its calls broke: no bytes have been received from it since.
     *
     * @param heardAtMs when bytes were last received from it
     */
    public boolean mayHaveEnded(String incarnation, long heardAtMs) {
        List<Crash> calls = byIncarnation.get(incarnation);
        return calls != null && heardAtMs <= calls.getLast().atMs() + MAX_READ_DELAY_MS;
    }

    /**
     * Removes the calls that broke at an incarnation that has ended, and returns them except those after which bytes
     * were still received from it.
     *
     * @param heardAtMs when bytes were last received from it
     */
    public List<Crash> ended(String incarnation, long heardAtMs, long nowMs) {
        List<Crash> calls = byIncarnation.remove(incarnation);
        if (calls == null) {
            return List.of();
        }
        return calls.stream()
                .filter(c -> nowMs - c.atMs() <= DETECTION_TIMEOUT_MS && heardAtMs <= c.atMs() + MAX_READ_DELAY_MS)
                .toList();
    }
}
