package org.onyxhinge.tools.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** A router that forwards every call immediately, so that calls queue at the engines. */
final class BaselineRouter implements SimRouter {

    /** Retry delay for callers rejected by a full engine; the baselines have no better estimate. */
    private static final double RETRY_AFTER_MS = 1_000;

    private final VirtualTime time;
    private final List<SimEngine> engines;
    private final boolean leastOutstanding;
    private final Map<SimEngine, Integer> outstanding = new HashMap<>();
    private final Map<SimAttempt, SimEngine> engineByAttempt = new IdentityHashMap<>();
    private int nextIndex;

    BaselineRouter(VirtualTime time, List<SimEngine> engines, boolean leastOutstanding, int firstIndex) {
        this.time = time;
        this.engines = engines;
        this.leastOutstanding = leastOutstanding;
        this.nextIndex = firstIndex;
    }

    @Override
    public void submit(SimAttempt attempt) {
        SimEngine engine = leastOutstanding
                ? engines.stream()
                        .min(Comparator.comparingInt(e -> outstanding.getOrDefault(e, 0)))
                        .orElseThrow()
                : engines.get(nextIndex++ % engines.size());
        outstanding.merge(engine, 1, Integer::sum);
        engineByAttempt.put(attempt, engine);
        time.after(REMOTE_DELAY_MS, () -> {
            if (engineByAttempt.get(attempt) == engine
                    && !engine.submit(attempt.run(), p -> time.after(REMOTE_DELAY_MS, () -> onProgress(attempt, p)))) {
                release(attempt);
                attempt.listener().refused(RETRY_AFTER_MS);
            }
        });
    }

    private void onProgress(SimAttempt attempt, SimEngine.Progress progress) {
        if (!engineByAttempt.containsKey(attempt)) {
            return;
        }
        switch (progress) {
            case EVENT -> attempt.listener().event();
            case COMPLETED -> {
                release(attempt);
                attempt.listener().completed();
            }
            case FAILED -> {
                release(attempt);
                attempt.listener().failed();
            }
            default -> throw new IllegalStateException("unknown progress " + progress);
        }
    }

    private void release(SimAttempt attempt) {
        SimEngine engine = engineByAttempt.remove(attempt);
        if (engine != null) {
            outstanding.merge(engine, -1, Integer::sum);
        }
    }

    @Override
    public void cancel(SimAttempt attempt) {
        SimEngine engine = engineByAttempt.get(attempt);
        release(attempt);
        if (engine != null) {
            time.after(REMOTE_DELAY_MS, () -> engine.cancel(attempt.run()));
        }
    }
}
