package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.quarantine.Suspects;
import org.onyxhinge.wire.MonotonicClock;

/**
 * One request of a caller, from its head to its single final response. It is checked, waits for a slot, and is sent to
 * a target; it is sent to another target only if that cannot execute it twice or its route allows it.
 */
final class Exchange {

    private final Forwarder forwarder;
    private final HttpServerRequest request;
    private final CallerResponse caller;
    private final long arrivedAtMs = MonotonicClock.nowMs();
    private final AttemptHistory history = new AttemptHistory();
    private final CallLogEntry logEntry = new CallLogEntry();
    private final ExchangeEnd end;
    private final ExchangeIntake intake;
    private final BodyMemory.Share memory;
    private CallPlan plan;
    private Buffer body = Buffer.buffer();
    private Suspects suspects = Suspects.NONE;
    private boolean repeated;
    private Call waiting;
    private final StreamProgress stream = new StreamProgress();
    private final AttemptResults results;
    private final CallAttempts attempts;

    private Exchange(Forwarder forwarder, HttpServerRequest request) {
        this.forwarder = forwarder;
        this.request = request;
        this.memory = forwarder.bodyMemory().share();
        this.caller = new CallerResponse(request, forwarder.readers(), forwarder::prefersOtherRouter);
        this.end = new ExchangeEnd(forwarder, this, request, caller, history, logEntry, arrivedAtMs);
        this.results = new AttemptResults(forwarder, this, caller, history, end, logEntry, stream);
        this.attempts = results.attempts();
        long unreadMs = forwarder.loopDelay().unreadMs(arrivedAtMs);
        this.intake = new ExchangeIntake(forwarder, this, request, end, logEntry, arrivedAtMs, unreadMs);
        logEntry.unreadMs = unreadMs;
    }

    /** Starts an exchange for a new request. */
    static void begin(Forwarder forwarder, HttpServerRequest request) {
        Exchange x = new Exchange(forwarder, request);
        forwarder.calls().add(x);
        request.response().exceptionHandler(e -> x.callerDisconnected());
        request.response().closeHandler(v -> x.callerDisconnected());
        request.pause();
        x.check();
    }

    /** Checks the request's head; holds the request if there is no configuration yet. */
    void check() {
        if (!end.finished()) {
            intake.check();
        }
    }

    /** Refuses the request because the router lacks processor time for it. */
    void refuseOverloaded(long waitMs) {
        if (!end.finished()) {
            end.refuse("starved", Math.max(CallerResponse.OTHER_ROUTER_RETRY_MS, waitMs));
        }
    }

    /** Starts processing an accepted request. */
    void begin() {
        if (!end.finished()) {
            intake.readBody();
        }
    }

    /** Refuses the request because the first configuration did not arrive in time. */
    void refuseWithoutConfig() {
        end.refuse("no_config", CallerResponse.OTHER_ROUTER_RETRY_MS);
    }

    /** Sets the plan; replaces an earlier one when more is known about the request. */
    void planned(CallPlan current) {
        plan = current;
    }

    /** Ends the request when its time is over. */
    void startDeadline() {
        end.timer(plan.remainingMs(), this::deadlineExpired);
    }

    /**
     * Sets what was received.
     *
     * @param repeat whether the caller repeats the request before the time it was told
     */
    void received(Buffer whole, Fingerprint identity, boolean repeat) {
        body = whole;
        suspects = Suspects.of(identity, plan.head().promptParts().shared());
        repeated = repeat;
        logEntry.fingerprint = identity;
    }

    /** Sets that the caller has received the first part of a stream, which a version produced. */
    void continues(String eventId, Optional<String> version) {
        stream.resumeAfter(Optional.of(eventId));
        version.ifPresent(stream::beganAt);
    }

    /** Sends the request, or queues it. */
    void submit() {
        if (forwarder.crashQuarantine().isQuarantined(suspects)) {
            refuseQuarantined();
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        Call call = call(excluded());
        onVerdict(sendBack(call, nowMs)
                .or(() -> submitTrial(call, nowMs))
                .<Verdict>map(s -> s)
                .orElseGet(() -> forwarder.placement().submit(call, nowMs)));
    }

    /** Sends the call back to a target that it was moved away from, if no other takes it at once. */
    private Optional<Verdict.Send> sendBack(Call call, long nowMs) {
        Optional<String> target = history.returnable();
        return target.isEmpty() || forwarder.placement().canSendNow(call, nowMs)
                ? Optional.empty()
                : forwarder.placement().sendBack(call, target.get(), nowMs);
    }

    private Optional<Verdict.Send> submitTrial(Call call, long nowMs) {
        boolean mayBeTrial = history.sendCount() == 0 || stream.version().isPresent();
        return mayBeTrial ? forwarder.rollouts().submitTrial(call, plan.route(), nowMs) : Optional.empty();
    }

    /** Incarnations of the targets that the call must not be sent to now. */
    Set<String> excluded() {
        Set<String> out = new HashSet<>(history.excluded());
        if (!history.mayTryFurther(plan)) {
            forwarder.placement().targets().forEach(t -> out.add(t.incarnation()));
            history.returnable().ifPresent(out::remove);
        }
        return out;
    }

    Call call(Set<String> excluded) {
        long events = forwarder
                .lengths()
                .expectedEvents(plan.route().name(), plan.head().expectedOutputTokens());
        return plan.call(excluded, caller.headSent(), events, repeated, stream.version());
    }

    /** Carries out the placement's decision about this request's call. */
    void onVerdict(Verdict verdict) {
        logEntry.queuedRank = verdict.call().queuedRank();
        switch (verdict) {
            case Verdict.Wait w -> {
                waiting = w.call();
                forwarder.enqueue(w.call(), this);
            }
            case Verdict.Send s -> {
                waiting = null;
                forwarder.dequeue(s.call());
                logEntry.sentAfterMs = MonotonicClock.nowMs() - arrivedAtMs;
                logEntry.targetCalls = s.target().calls();
                attempts.start(s, plan);
            }
            case Verdict.Refuse r -> {
                waiting = null;
                forwarder.dequeue(r.call());
                r.estimate().ifPresent(logEntry::queueWait);
                if (forwarder.placement().isAboveShare(r.call())) {
                    logEntry.aboveShare();
                    forwarder.metrics().event("refused.above_share");
                }
                end.retryScheduled(r.scheduled());
                end.withoutTarget(r.reason().name().toLowerCase(java.util.Locale.ROOT), r.retryAfterMs());
            }
        }
    }

    /** Refuses the request because it crashes targets. */
    void refuseQuarantined() {
        logEntry.addTrouble("quarantine", forwarder.crashQuarantine().held(suspects));
        end.withoutTarget("quarantined", forwarder.crashQuarantine().endsInMs(suspects));
    }

    /**
     * Ends the request if it must not run because of what has just been quarantined. If its response has begun, the
     * target may still complete it.
     */
    void quarantined() {
        if (end.finished() || caller.headSent() || !forwarder.crashQuarantine().isWithheld(suspects)) {
            return;
        }
        if (attempts.isRunning()) {
            history.markExecuted();
        }
        cancelWork();
        refuseQuarantined();
    }

    /** Moves a call that another version may run off its target, if another one accepts it now. */
    void moveAway(String why) {
        results.moveAway(why);
    }

    boolean repeatable() {
        return plan.route().repeatable();
    }

    HttpServerRequest request() {
        return request;
    }

    /** The request's body; empty until it has been read whole. */
    Buffer body() {
        return body;
    }

    /** Where memory for buffered responses is reserved. */
    BodyMemory.Share memory() {
        return memory;
    }

    /** What in the request may be at fault if a target ends. */
    Suspects suspects() {
        return suspects;
    }

    /** Identifies what the caller asks for, independent of the request id. */
    Fingerprint fingerprint() {
        return suspects.request();
    }

    /** When the request's head was read. */
    long arrivedAtMs() {
        return arrivedAtMs;
    }

    boolean isOn(HttpConnection connection) {
        return request.connection() == connection;
    }

    /** Ends a call whose caller reads too slowly. */
    void readerCut() {
        if (!end.finished()) {
            cancelWork();
            end.cutOff("slow_reader");
        }
    }

    /** Ends a request whose caller does not send the rest of it. */
    void abandon(String why) {
        if (!end.finished()) {
            cancelWork();
            end.refuse(why, CallerResponse.OTHER_ROUTER_RETRY_MS);
        }
    }

    /** The call's plan; null until its head has been accepted. */
    CallPlan plan() {
        return plan;
    }

    /** The longest time between two events of a target's stream. */
    long longestGapMs() {
        return stream.longestGapMs();
    }

    /** The target that may be executing the call. */
    Optional<TargetState> runningOn() {
        return attempts.current().filter(Attempt::isRunning).map(Attempt::target);
    }

    private void deadlineExpired() {
        abort(504, "timeout", "no whole answer within the time there was", 0);
    }

    /** Refuses a call that has not been sent to a target, because the process is about to exit. */
    void refuseUnsent() {
        if (!end.finished() && history.sendCount() == 0 && !attempts.isRunning()) {
            cancelWork();
            end.refuse("leaving", CallerResponse.OTHER_ROUTER_RETRY_MS);
        }
    }

    /** Ends a call that is still in progress when the process exits, and logs that as the reason. */
    void abortByShutdown() {
        abort(502, "stop", "the router was stopped before the answer was whole", CallerResponse.OTHER_ROUTER_RETRY_MS);
    }

    /** Ends a call that has no time left. The response states whether the call may have been executed. */
    private void abort(int status, String why, String message, long retryAfterMs) {
        if (end.finished()) {
            return;
        }
        attempts.current().ifPresent(Attempt::expire);
        cancelWork();
        end.abort(status, why, message, retryAfterMs);
    }

    /** Stops all work for a caller that has disconnected. */
    private void callerDisconnected() {
        if (!end.finished()) {
            CallStep step = step();
            cancelWork();
            end.callerLeft(step);
        }
    }

    private CallStep step() {
        if (caller.headSent()) {
            return CallStep.RESPONDING;
        }
        if (attempts.isRunning()) {
            return CallStep.SENT;
        }
        if (waiting != null) {
            return CallStep.QUEUED;
        }
        return attempts.current().isPresent() ? CallStep.PLACED : CallStep.INTAKE;
    }

    /** Stops all work for the request. */
    void cancelWork() {
        if (waiting != null) {
            forwarder.placement().withdraw(waiting);
            forwarder.dequeue(waiting);
            waiting = null;
        }
        attempts.cancel();
    }
}
