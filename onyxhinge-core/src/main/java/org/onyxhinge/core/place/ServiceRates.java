package org.onyxhinge.core.place;

import java.util.Map;

/**
 * Rates of a service's calls per second as seen by one router, smoothed over a few seconds. The routers of a group add
 * them up, because each one alone sees only a few calls.
 *
 * @param freed slots freed by its calls
 * @param arrivedByRank arriving calls, by rank
 */
public record ServiceRates(double freed, Map<Integer, Double> arrivedByRank) {

    /** Makes a defensive copy. */
    public ServiceRates {
        arrivedByRank = Map.copyOf(arrivedByRank);
    }

    /** Arrival rate of calls with ranks more urgent than {@code rank}. */
    double arrivedBefore(int rank) {
        double sum = 0;
        for (Map.Entry<Integer, Double> e : arrivedByRank.entrySet()) {
            sum += e.getKey() < rank ? e.getValue() : 0;
        }
        return sum;
    }
}
