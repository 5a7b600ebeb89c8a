package org.onyxhinge.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the calls that one router sends to a version on trial to a fraction of the calls that it has sent to the
 * service since it learned of the rollout. The sum over all routers then keeps to the same fraction without messages
 * between them, and a router that restarts has to earn its part again.
 */
final class ExposureLimit {

    /**
     * Part of the permitted fraction that is used while the version is on trial. The rest covers the calls that reach a
     * bad version between its promotion and its rollback.
     */
    private static final double TRIAL_FRACTION = 0.7;

    /** The same including calls that would last too long on the earlier versions. */
    private static final double LONG_CALL_FRACTION = 0.9;

    /** Part of the allowance that is given out to routers; calls of a promoted version may need the rest. */
    private static final double ALLOWANCE_FRACTION = 0.5;

    /** Small, because each router of a fleet whose size is not known yet may take as many. */
    private static final long MAX_FREE_CALLS = 4;

    /** A route may be this many trial calls ahead of the route with the fewest, so that all routes are covered. */
    private static final long MAX_ROUTE_LEAD = 3;

    private final double exposureShare;
    private final long freeCalls;
    private final Map<String, Long> exposedByRoute = new HashMap<>();
    private long calls;
    private long exposed;

    private ExposureLimit(double exposureShare, long freeCalls) {
        this.exposureShare = exposureShare;
        this.freeCalls = freeCalls;
    }

    /**
     * Creates the limit of one router.
     *
     * @param routers number of routers that share the allowance; 0 if this router may take nothing of it
     */
    static ExposureLimit of(RolloutLimits limits, int routers) {
        long free = routers == 0 ? 0 : (long) (limits.exposureAllowance() * ALLOWANCE_FRACTION / routers);
        return new ExposureLimit(limits.exposureShare(), Math.min(MAX_FREE_CALLS, free));
    }

    /** Whether a call that would last too long on the earlier versions may go to the version on trial now. */
    boolean permitsLongCall() {
        return credit(LONG_CALL_FRACTION) >= 1;
    }

    private double credit(double fraction) {
        return freeCalls + exposureShare * fraction * (calls + 1) - exposed;
    }

    /** Whether a call on a route may go to the version on trial now. */
    boolean permits(String route) {
        double credit = credit(TRIAL_FRACTION);
        if (credit < 1) {
            return false;
        }
        long fewest = exposedByRoute.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(0);
        return credit > MAX_ROUTE_LEAD || exposedByRoute.getOrDefault(route, 0L) < fewest + MAX_ROUTE_LEAD;
    }

    /** Records the first send of a call to the service, to any version. */
    void callSent(String route) {
        calls++;
        exposedByRoute.putIfAbsent(route, 0L);
    }

    /** Records a call that goes to the version on trial. */
    void exposed(String route) {
        exposed++;
        exposedByRoute.merge(route, 1L, Long::sum);
    }

    /** Calls sent to the service. */
    long calls() {
        return calls;
    }

    /** Calls sent to the version on trial. */
    long exposedCalls() {
        return exposed;
    }
}
