package org.onyxhinge.router.forward;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.CallTimes;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.TargetService;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Routing decision and deadlines of a request whose head has been accepted.
 *
 * @param head the parsed request head
 * @param config the configuration it was checked against
 * @param route its route
 * @param workspace the caller's workspace; empty on keyless routes
 * @param service the service it is sent to
 * @param arrivedAtMs when its head was read
 * @param unreadMs how long it may have lain unread before that
 * @param times its deadlines
 */
record CallPlan(
        CallHead head,
        ForwardingConfig config,
        Route route,
        Optional<WorkspaceAccess> workspace,
        String service,
        long arrivedAtMs,
        long unreadMs,
        CallTimes times) {

    /** Number of ranks of routes. A workspace's rank takes precedence over a route's rank, which is below this. */
    private static final int ROUTE_RANKS = 1_000;

    /**
     * Creates the plan of an accepted request.
     *
     * @param unreadMs how long it may have lain unread before its head was read
     * @param waitedBeforeMs how long its caller has waited since its first attempt
     */
    static CallPlan of(CallCheck.Allowed check, long arrivedAtMs, long unreadMs, long waitedBeforeMs) {
        Route route = check.route();
        long deadlineMs = deadlineMs(check.head(), route);
        return new CallPlan(
                check.head(),
                check.config(),
                route,
                check.workspace(),
                route.pickService(ThreadLocalRandom.current().nextDouble()),
                arrivedAtMs,
                unreadMs,
                CallTimes.of(arrivedAtMs, unreadMs, waitedBeforeMs, route.targetLatencyMs(), deadlineMs));
    }

    /** The same plan with the deadlines of a request whose caller's first attempt arrived earlier. */
    CallPlan firstArrivedAt(long firstArrivalMs) {
        CallTimes updated = CallTimes.of(
                arrivedAtMs, unreadMs, arrivedAtMs - firstArrivalMs, route.targetLatencyMs(), deadlineMs(head, route));
        return new CallPlan(head, config, route, workspace, service, arrivedAtMs, unreadMs, updated);
    }

    /** The same plan for another service of the route. */
    CallPlan withService(String other) {
        return new CallPlan(head, config, route, workspace, other, arrivedAtMs, unreadMs, times);
    }

    /** When the caller's first attempt arrived, as far as known. */
    long firstArrivalMs() {
        return times.firstByteDeadlineMs() - route.targetLatencyMs();
    }

    /** When the caller stops waiting. */
    long callerDeadlineMs() {
        return arrivedAtMs + head.deadlineMs();
    }

    private static long deadlineMs(CallHead head, Route route) {
        return Math.min(head.deadlineMs(), route.timeoutMs());
    }

    long remainingMs() {
        return times.responseDeadlineMs() - MonotonicClock.nowMs();
    }

    /** True while there is enough time for another target to respond. */
    boolean hasTimeForRetry() {
        return remainingMs() >= CallTimes.MIN_REMAINING_MS;
    }

    /**
     * Creates the call that is submitted to the placement.
     *
     * @param excluded targets that must not be used again
     * @param responseBegun whether the caller has received part of the response, in which case the call may wait until
     *     its deadline
     * @param expectedEvents expected number of events in the response
     * @param repeat whether the caller repeats the request before the time it was told
     * @param version the version that must continue the stream; empty for any
     */
    Call call(
            Set<String> excluded,
            boolean responseBegun,
            long expectedEvents,
            boolean repeat,
            Optional<String> version) {
        boolean model = config.service(service).map(TargetService::modelEngine).orElse(false);
        return Call.of(service, arrivedAtMs)
                .workspace(workspace.map(WorkspaceAccess::name).orElse(""))
                .rank(rank(), times.isRetry())
                .repeat(repeat)
                .times(times.firstByteDeadlineMs(), queueDeadlineMs(responseBegun, version.isPresent()))
                .responseDeadline(times.responseDeadlineMs())
                .gapTarget(route.gapTargetMs())
                .work(model ? head.promptTokens() : 0, model ? expectedEvents : 0)
                .avoid(excluded)
                .version(version)
                .build();
    }

    private long queueDeadlineMs(boolean responseBegun, boolean continuesStream) {
        if (responseBegun) {
            return times.responseDeadlineMs();
        }
        return continuesStream
                ? times.resumedQueueDeadlineMs(arrivedAtMs, route.targetLatencyMs(), route.gapTargetMs())
                : times.queueDeadlineMs();
    }

    /** Combined rank, 0 being the most urgent: ordered by the workspace's rank, then by the route's. */
    int rank() {
        int own = workspace.map(w -> w.priority().orElse(0)).orElse(0);
        return own * ROUTE_RANKS + route.priority();
    }

    /** Identifies what the caller asks for, independent of the request id. */
    Fingerprint fingerprint(HttpServerRequest request, Buffer body) {
        String host = request.getHeader("Host");
        return Fingerprint.of(
                workspace.map(WorkspaceAccess::name).orElse(""),
                request.method().name(),
                host == null ? "" : host,
                request.uri(),
                body.getBytes());
    }

    /** The router's own fields of the request to a target. */
    OutgoingCall outgoing(String targetId, Optional<String> resumeAfter) {
        return new OutgoingCall(
                head.requestId(), targetId, remainingMs(), workspace.map(WorkspaceAccess::name), resumeAfter);
    }
}
