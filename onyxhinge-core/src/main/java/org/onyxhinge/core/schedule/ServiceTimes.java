package org.onyxhinge.core.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Recent service times per pool, and the queueing delay estimated from them. Confined to the scheduler's thread. */
final class ServiceTimes {

    private static final double WEIGHT = 0.1;
    private static final double INITIAL_MS = 2_000;

    private final Map<String, Double> meanMsByPool = new HashMap<>();
    private final Map<String, Double> lengthFactorByPool = new HashMap<>();

    private ServiceTimes() {}

    static ServiceTimes create() {
        return new ServiceTimes();
    }

    /** Records a request that ended {@code elapsedMs} after its dispatch. */
    void ended(EngineState engine, RunningRequest r, long elapsedMs) {
        String pool = engine.info().pool();
        double lengthFactor = elapsedMs / Math.max(1, r.nominalServiceMs() * engine.slowness());
        meanMsByPool.merge(pool, (double) elapsedMs, ServiceTimes::smoothed);
        lengthFactorByPool.merge(pool, Math.min(1, lengthFactor), ServiceTimes::smoothed);
    }

    /** The mean time from dispatch to end. */
    long meanMs(String pool) {
        return meanMsByPool.getOrDefault(pool, INITIAL_MS).longValue();
    }

    /**
     * Estimates how long a request with {@code ahead} others queued before it waits for a slot: until as many running
     * requests have ended. Requests of other routers, of which only the number is known, are assumed to end after the
     * mean service time.
     */
    long queueWaitMs(String pool, List<EngineState> live, int ahead, long nowMs) {
        double lengthFactor = lengthFactorByPool.getOrDefault(pool, 1.0);
        List<Long> endsAtMs = new ArrayList<>();
        for (EngineState engine : live) {
            engine.running().forEach(r -> endsAtMs.add(engine.expectedEndMs(r, lengthFactor, nowMs)));
            for (int i = 0; i < engine.othersInFlight(); i++) {
                endsAtMs.add(nowMs + meanMs(pool));
            }
        }
        if (endsAtMs.isEmpty()) {
            return 0;
        }
        Collections.sort(endsAtMs);
        long rounds = ahead / endsAtMs.size();
        return endsAtMs.get(ahead % endsAtMs.size()) - nowMs + rounds * meanMs(pool);
    }

    private static double smoothed(double old, double now) {
        return old + WEIGHT * (now - old);
    }
}
