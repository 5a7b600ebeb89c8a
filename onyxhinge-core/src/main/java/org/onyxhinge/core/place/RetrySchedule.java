package org.onyxhinge.core.place;

import java.util.HashMap;
import java.util.Map;

import org.onyxhinge.core.admit.RetryLedger;

/**
 * Chooses when the callers of refused calls retry: as soon as the slots that become free are not all needed by calls
 * that precede them.
 */
final class RetrySchedule {

    /**
     * Maximum delay as a fraction of the time that the caller still waits. Callers do not honour a longer one, so it
     * would not be a promise.
     */
    private static final long MAX_FRACTION = 3;

    /** Part of the longest delay that the wait for queued calls may take; retries are spread over the rest. */
    private static final double MAX_WAIT_FRACTION = 0.75;

    private final RetryLedger ledger;
    private final QueueOrder order;
    /** Arrivals by service; how many precede a retry in some seconds follows from a long average. */
    private final Map<String, LongRates> arrivals = new HashMap<>();

    RetrySchedule(RetryLedger ledger, QueueOrder order) {
        this.ledger = ledger;
        this.order = order;
    }

    RetryLedger ledger() {
        return ledger;
    }

    /** Forgets a service. */
    void forget(String service) {
        arrivals.remove(service);
        ledger.forget(service);
    }

    /** Takes the current arrival rates of all routers into the averages. */
    void observe(String service, ServiceDemand demand, int routers, long nowMs) {
        LongRates rates = arrivals.computeIfAbsent(service, s -> new LongRates());
        if (rates.isDue(nowMs)) {
            rates.sample(demand.fleetRates(routers, nowMs).arrivedByRank(), nowMs);
        }
    }

    /**
     * Returns the delay after which the caller of a refused call should retry.
     *
     * @param waitMs expected wait of the call now: until then slots go to the calls that are queued already
     * @param minMs shortest delay, if the caller still waits three times as long
     * @param maxMs longest delay
     */
    long delayMs(
            Call call,
            ServiceTargets service,
            ServiceDemand demand,
            int routers,
            long waitMs,
            long minMs,
            long maxMs,
            long nowMs) {
        long latestMs = Math.min(maxMs, Math.max(0, call.responseDeadlineMs() - nowMs) / MAX_FRACTION);
        long earliestMs = Math.min((long) (latestMs * MAX_WAIT_FRACTION), Math.max(minMs, waitMs));
        boolean onTime = service.canBeOnTimeAfter(call, earliestMs, nowMs);
        double roomPerSecond = demand.freedPerSecond(service, routers, nowMs)
                - arrivals.computeIfAbsent(call.service(), s -> new LongRates())
                        .before(order.firstRankBehind(call.rank(), onTime));
        long atMs =
                ledger.retryAtMs(call.service(), roomPerSecond, routers, nowMs + earliestMs, nowMs + latestMs, nowMs);
        // A caller that was refused before does not retry again.
        if (!call.isRetry()) {
            ledger.promised(call.service(), atMs, nowMs);
        }
        return atMs - nowMs;
    }
}
