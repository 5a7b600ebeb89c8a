package org.onyxhinge.core.place;

import java.util.Optional;

/** Decides whether a call without a free slot may queue, and computes the retry delay of a refused call. */
final class Admission {

    /** Minimum delay before a retry; an earlier retry would meet the same queue. */
    private static final long MIN_RETRY_AFTER_MS = 300;

    /** Maximum delay before a retry: bursts last seconds, and callers' deadlines are only a few times that long. */
    private static final long MAX_RETRY_AFTER_MS = 4_000;

    private static final long NO_TARGET_RETRY_AFTER_MS = 1_000;

    private final FleetView fleet;
    private final boolean refuseEarly;
    /** Empty if retries are not scheduled. */
    private final Optional<RetrySchedule> schedule;

    /**
     * Creates the admission check.
     *
     * @param refuseEarly whether to refuse a call as soon as its expected wait is too long; otherwise it is refused
     *     when it has waited that long
     * @param schedule chooses when refused callers retry; empty to derive that from the expected wait
     */
    Admission(FleetView fleet, boolean refuseEarly, Optional<RetrySchedule> schedule) {
        this.fleet = fleet;
        this.refuseEarly = refuseEarly;
        this.schedule = schedule;
    }

    /** Whether the expected wait of a call ends after its queue deadline. */
    boolean exceedsMaxWait(Call call, WaitEstimate estimate, long nowMs) {
        return refuseEarly && nowMs + estimate.waitMs() > call.queueDeadlineMs();
    }

    /** Estimates how long a call that is queued with {@code rank} would wait. */
    WaitEstimate expectedWait(Call call, int rank, ServiceTargets service, ServiceDemand demand, long nowMs) {
        return demand.expectedWait(call, rank, service, routers(service), nowMs);
    }

    private int routers(ServiceTargets service) {
        return fleet.routersSharing(service).others() + 1;
    }

    /** Records that a call has arrived. */
    void arrived(ServiceTargets service, ServiceDemand demand, long nowMs) {
        schedule.ifPresent(s -> s.observe(service.name(), demand, routers(service), nowMs));
    }

    /** Refuses a call whose expected or actual wait is too long. */
    Verdict.Refuse refuse(
            Call call,
            Verdict.Reason reason,
            WaitEstimate estimate,
            ServiceTargets service,
            ServiceDemand demand,
            long nowMs) {
        long waitMs = estimate.waitMs();
        int routers = routers(service);
        long retryMs = schedule.map(s -> s.delayMs(
                        call, service, demand, routers, waitMs, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS, nowMs))
                .orElse(Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, waitMs)));
        return new Verdict.Refuse(call, reason, retryMs, schedule.isPresent(), Optional.of(estimate));
    }

    /** Refuses a call because no target of its service accepts calls. */
    static Verdict.Refuse refuseWithoutTarget(Call call) {
        // A version that has no target left may never have one again.
        long retryMs = call.version().isPresent() ? 0 : NO_TARGET_RETRY_AFTER_MS;
        return new Verdict.Refuse(call, Verdict.Reason.NO_TARGET, retryMs, false, Optional.empty());
    }
}
