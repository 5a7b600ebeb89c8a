package org.onyxhinge.core.place;

import java.util.Map;
import java.util.TreeMap;

/** Arrival rates by rank, averaged over a longer time than those that routers report. */
final class LongRates {

    /** Time constant: about the period in which the demand of the users' deployments varies. */
    private static final double TIME_CONSTANT_MS = 10_000;

    private static final long SAMPLE_INTERVAL_MS = 100;

    private final Map<Integer, Double> perSecond = new TreeMap<>();
    private long sampledAtMs;
    private boolean sampled;

    boolean isDue(long nowMs) {
        return !sampled || nowMs >= sampledAtMs + SAMPLE_INTERVAL_MS;
    }

    /** Takes the current rates into the averages; the first ones replace them. */
    void sample(Map<Integer, Double> byRank, long nowMs) {
        double weight = sampled ? 1 - Math.exp(-(nowMs - sampledAtMs) / TIME_CONSTANT_MS) : 1;
        byRank.keySet().forEach(rank -> perSecond.putIfAbsent(rank, 0.0));
        perSecond.replaceAll((rank, average) -> average + weight * (byRank.getOrDefault(rank, 0.0) - average));
        sampled = true;
        sampledAtMs = nowMs;
    }

    /** Arrivals per second of ranks more urgent than {@code rank}. */
    double before(int rank) {
        double sum = 0;
        for (Map.Entry<Integer, Double> e : perSecond.entrySet()) {
            sum += e.getKey() < rank ? e.getValue() : 0;
        }
        return sum;
    }
}
