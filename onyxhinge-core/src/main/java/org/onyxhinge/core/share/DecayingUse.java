package org.onyxhinge.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** Target time in ms per key; all of it decays exponentially, so that it covers the last seconds. */
final class DecayingUse<K> {

    /** Decayed values below this are removed; a call of 1 ms is the shortest that counts. */
    private static final double NEGLIGIBLE_MS = 0.5;

    private final double timeConstantMs;
    private final Map<K, Double> usedMs = new HashMap<>();
    private long atMs;

    DecayingUse(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    void add(K key, double ms, long nowMs) {
        decay(nowMs);
        usedMs.merge(key, ms, Double::sum);
    }

    /** Adds another use, decayed to the time of this one, or subtracts it again if {@code sign} is -1. */
    void addAll(DecayingUse<K> other, int sign) {
        other.decay(atMs);
        other.usedMs.forEach((key, ms) -> usedMs.merge(key, sign * ms, Double::sum));
    }

    double usedMs(K key) {
        return usedMs.getOrDefault(key, 0.0);
    }

    void forEach(BiConsumer<K, Double> each) {
        usedMs.forEach(each);
    }

    void decay(long nowMs) {
        if (nowMs > atMs) {
            double factor = Math.exp(-(nowMs - atMs) / timeConstantMs);
            usedMs.replaceAll((key, ms) -> ms * factor);
            usedMs.values().removeIf(ms -> ms < NEGLIGIBLE_MS);
            atMs = nowMs;
        }
    }
}
