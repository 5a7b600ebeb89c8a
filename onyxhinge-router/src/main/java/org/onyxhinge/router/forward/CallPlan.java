package org.onyxhinge.router.forward;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.TargetService;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.wire.MonotonicClock;

/**
 * What is settled for a request once its head has been checked.
 *
 * @param head what its head says
 * @param config the version of the configuration it was checked by
 * @param route its route
 * @param workspace its caller's workspace; empty on keyless routes
 * @param service the service it goes to
 * @param arrivedAtMs when it arrived
 * @param endsAtMs when it must have its final answer
 */
record CallPlan(
        CallHead head,
        ForwardingConfig config,
        Route route,
        Optional<WorkspaceAccess> workspace,
        String service,
        long arrivedAtMs,
        long endsAtMs) {

    /** Below this, a further target could not answer in time. */
    private static final long LEAST_TIME_MS = 30;

    /** A caller who sends less than this part of its route's timeout as its deadline has come back. */
    private static final double FIRST_TRY_DEADLINE_PART = 0.97;

    /** Workspaces' ranks go before routes' ranks, which are below this. */
    private static final int RANKS_OF_ROUTES = 1_000;

    /**
     * A call may wait this much beyond its target latency: a late answer is still of use, but a stream's
     * caller leaves after a gap of 2 s, 4 latencies or 8 pauses.
     */
    private static final long LATE_HOLD_MS = 600;

    static CallPlan of(CallCheck.Allowed check, long arrivedAtMs) {
        Route route = check.route();
        return new CallPlan(
                check.head(),
                check.config(),
                route,
                check.workspace(),
                route.pick(ThreadLocalRandom.current().nextDouble()),
                arrivedAtMs,
                arrivedAtMs + Math.min(check.head().deadlineMs(), route.timeoutMs()));
    }

    long leftMs() {
        return endsAtMs - MonotonicClock.nowMs();
    }

    /** True while another target could still answer. */
    boolean timeForAnother() {
        return leftMs() >= LEAST_TIME_MS;
    }

    /**
     * The call for the placement.
     *
     * @param tried targets it must not go to again
     * @param begun whether its caller has part of the answer, so that it may wait as long as there is time
     * @param expectedEvents events its answer will probably have
     */
    Call call(Set<String> tried, boolean begun, long expectedEvents) {
        long onTimeUntilMs = arrivedAtMs + route.targetLatencyMs();
        long holdUntilMs = Math.min(onTimeUntilMs + LATE_HOLD_MS, endsAtMs - LEAST_TIME_MS);
        boolean returned = head.deadlineMs() < route.timeoutMs() * FIRST_TRY_DEADLINE_PART;
        boolean model = config.service(service).map(TargetService::modelEngine).orElse(false);
        return Call.of(service, arrivedAtMs)
                .rank(rank(), returned)
                .times(onTimeUntilMs, begun ? endsAtMs : holdUntilMs)
                .work(model ? head.promptTokens() : 0, model ? expectedEvents : 0)
                .avoid(tried)
                .build();
    }

    private int rank() {
        int own = workspace.map(w -> w.priority().orElse(0)).orElse(0);
        return own * RANKS_OF_ROUTES + route.priority();
    }

    /** What is said of it to a target. */
    OutgoingCall outgoing(String targetId, Optional<String> resumeAfter) {
        return new OutgoingCall(targetId, leftMs(), workspace.map(WorkspaceAccess::name), resumeAfter);
    }
}
