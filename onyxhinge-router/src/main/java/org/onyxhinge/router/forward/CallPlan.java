package org.onyxhinge.router.forward;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.CallTimes;
import org.onyxhinge.core.quarantine.RequestFingerprint;
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
 * @param times when it is due
 */
record CallPlan(
        CallHead head,
        ForwardingConfig config,
        Route route,
        Optional<WorkspaceAccess> workspace,
        String service,
        long arrivedAtMs,
        CallTimes times) {

    /** Workspaces' ranks go before routes' ranks, which are below this. */
    private static final int RANKS_OF_ROUTES = 1_000;

    /**
     * Settles a request that has been checked.
     *
     * @param waitedBeforeMs how long its caller has waited since it first asked
     */
    static CallPlan of(CallCheck.Allowed check, long arrivedAtMs, long waitedBeforeMs) {
        Route route = check.route();
        long deadlineMs = Math.min(check.head().deadlineMs(), route.timeoutMs());
        return new CallPlan(
                check.head(),
                check.config(),
                route,
                check.workspace(),
                route.pickService(ThreadLocalRandom.current().nextDouble()),
                arrivedAtMs,
                CallTimes.of(arrivedAtMs, waitedBeforeMs, route.targetLatencyMs(), deadlineMs));
    }

    long leftMs() {
        return times.responseDeadlineMs() - MonotonicClock.nowMs();
    }

    /** True while another target could still answer. */
    boolean timeForAnother() {
        return leftMs() >= CallTimes.MIN_REMAINING_MS;
    }

    /**
     * The call for the placement.
     *
     * @param tried targets it must not go to again
     * @param begun whether its caller has part of the answer, so that it may wait as long as there is time
     * @param expectedEvents events its answer will probably have
     */
    Call call(Set<String> tried, boolean begun, long expectedEvents) {
        boolean model = config.service(service).map(TargetService::modelEngine).orElse(false);
        return Call.of(service, arrivedAtMs)
                .rank(rank(), times.isRetry())
                .times(times.firstByteDeadlineMs(), begun ? times.responseDeadlineMs() : times.queueDeadlineMs())
                .responseDeadline(times.responseDeadlineMs())
                .gapTarget(route.gapTargetMs())
                .work(model ? head.promptTokens() : 0, model ? expectedEvents : 0)
                .avoid(tried)
                .build();
    }

    /** Its rank, 0 the most urgent: its workspace's first, then its route's. */
    int rank() {
        int own = workspace.map(w -> w.priority().orElse(0)).orElse(0);
        return own * RANKS_OF_ROUTES + route.priority();
    }

    /** What its caller asks for, whatever the id of this try. */
    RequestFingerprint fingerprint(HttpServerRequest request, Buffer body) {
        String host = request.getHeader("Host");
        return RequestFingerprint.of(
                workspace.map(WorkspaceAccess::name).orElse(""),
                request.method().name(),
                host == null ? "" : host,
                request.uri(),
                body.getBytes());
    }

    /** What is said of it to a target. */
    OutgoingCall outgoing(String targetId, Optional<String> resumeAfter) {
        return new OutgoingCall(targetId, leftMs(), workspace.map(WorkspaceAccess::name), resumeAfter);
    }
}
