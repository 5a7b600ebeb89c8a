package org.onyxhinge.core.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.onyxhinge.core.model.RequestSpec;

/** Selects the engine for a request among the engines that accept work. */
final class EngineSelection {

    private static final int PERCENT = 100;

    private EngineSelection() {}

    static EngineState leastOutstanding(List<EngineState> live) {
        return live.stream().min(Comparator.comparingInt(EngineState::inFlight)).orElseThrow();
    }

    /** The engine with a free slot and the earliest estimated first token, if this tier may take a slot. */
    static Optional<EngineState> fastestFree(List<EngineState> live, RequestSpec spec, int headroomPercent) {
        if (!leavesHeadroom(live, spec, headroomPercent)) {
            return Optional.empty();
        }
        EngineState best = null;
        long bestMs = Long.MAX_VALUE;
        for (EngineState s : live) {
            if (s.hasFreeSlot()) {
                long estimateMs = s.firstTokenEstimateMs(spec);
                if (estimateMs < bestMs) {
                    best = s;
                    bestMs = estimateMs;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * True when a lower tier may take a slot and still leave headroom for the usual fluctuation in the tiers above it:
     * about the square root of the number of their running requests, as in square-root staffing (Halfin and Whitt,
     * Operations Research 1981). Without headroom, lower-tier requests are started only to be preempted again, and
     * their prefill is wasted.
     */
    private static boolean leavesHeadroom(List<EngineState> live, RequestSpec spec, int headroomPercent) {
        int above = 0;
        int free = 0;
        for (EngineState engine : live) {
            above += engine.ownRunningAbove(spec.tier().rank());
            free += engine.freeSlots();
        }
        return free > (int) (Math.sqrt(above) * headroomPercent / PERCENT);
    }

    /** The engine on which another router may be able to preempt a lower-tier request in favour of this one. */
    static Optional<EngineState> preemptibleByOthers(List<EngineState> live, RequestSpec spec, long nowMs) {
        return live.stream()
                .filter(s -> s.othersMayPreempt(spec, nowMs))
                .min(Comparator.comparingLong(s -> s.firstTokenEstimateMs(spec)));
    }
}
