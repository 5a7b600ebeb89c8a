package org.onyxhinge.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls whose connection to a target broke, until it is known whether the target has ended. A connection also breaks
 * for other reasons, and then says nothing against the call.
 *
 * <p>Not thread-safe: one thread owns it. Times are milliseconds of one monotonic clock.
 */
public final class BrokenCalls {

    /** A target that ended is known as such within this: its registration lapses after a few missed heartbeats. */
    private static final long KNOWN_WITHIN_MS = 10_000;

    /** Bytes that a target sent before it ended may be read so much later than the end of a connection to it. */
    private static final long ON_THE_WAY_MS = 250;

    private final Map<String, List<Crash>> byIncarnation = new HashMap<>();

    private BrokenCalls() {}

    /** Creates one that knows of none. */
    public static BrokenCalls create() {
        return new BrokenCalls();
    }

    /** Notes a call that broke; true for the first one of an incarnation whose end is not known yet. */
    public boolean broke(RequestFingerprint request, String incarnation, long nowMs) {
        byIncarnation.values().removeIf(calls -> nowMs - calls.getLast().atMs() > KNOWN_WITHIN_MS);
        List<Crash> calls = byIncarnation.computeIfAbsent(incarnation, i -> new ArrayList<>());
        calls.add(new Crash(request, incarnation, nowMs));
        return calls.size() == 1;
    }

    /**
     * Whether an incarnation may have ended when calls broke there: it has not been heard since.
     *
     * @param heardAtMs when bytes last came from it
     */
    public boolean mayHaveEnded(String incarnation, long heardAtMs) {
        List<Crash> calls = byIncarnation.get(incarnation);
        return calls != null && heardAtMs <= calls.getLast().atMs() + ON_THE_WAY_MS;
    }

    /**
     * Takes out the calls that broke at an incarnation which has ended, less those after which it was still heard.
     *
     * @param heardAtMs when bytes last came from it
     */
    public List<Crash> ended(String incarnation, long heardAtMs, long nowMs) {
        List<Crash> calls = byIncarnation.remove(incarnation);
        if (calls == null) {
            return List.of();
        }
        return calls.stream()
                .filter(c -> nowMs - c.atMs() <= KNOWN_WITHIN_MS && heardAtMs <= c.atMs() + ON_THE_WAY_MS)
                .toList();
    }
}
