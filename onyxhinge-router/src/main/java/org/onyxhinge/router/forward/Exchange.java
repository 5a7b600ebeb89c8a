package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.place.AdvertisedLimit;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.wire.MonotonicClock;

/**
 * One request of a caller, from its head to its single final response. It is checked, waits for a slot, and is sent to
 * a target; it is sent to another target only if that cannot execute it twice or its route allows it.
 */
final class Exchange implements Attempt.Owner {

    private final Forwarder forwarder;
    private final HttpServerRequest request;
    private final CallerResponse caller;
    private final long arrivedAtMs = MonotonicClock.nowMs();
    private final AttemptHistory history = new AttemptHistory();
    private final CallLogEntry logEntry = new CallLogEntry();
    private CallPlan plan;
    private Buffer body = Buffer.buffer();
    private RequestFingerprint fingerprint = RequestFingerprint.NONE;
    private boolean quotaCharged;
    private boolean finished;
    /** Whether the retry delay of the refusal was chosen for this caller alone. */
    private boolean retryScheduled;

    private Call waiting;
    private Attempt attempt;
    private long timerId = -1;
    private final StreamProgress stream = new StreamProgress();

    private Exchange(Forwarder forwarder, HttpServerRequest request) {
        this.forwarder = forwarder;
        this.request = request;
        this.caller = new CallerResponse(request, () -> !forwarder.ready());
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
        if (finished) {
            return;
        }
        if (forwarder.shutdown().refusesCalls()) {
            refuse("leaving", CallerResponse.OTHER_ROUTER_RETRY_MS);
            return;
        }
        Optional<ConfirmedConfig> config = forwarder.activeConfig();
        if (config.isEmpty()) {
            forwarder.holdUntilConfigured(this);
            return;
        }
        logEntry.confirmationAgeMs = forwarder.freshness().ageMs(config.get().confirmedAtMs());
        CallCheck result = CallCheck.of(request, forwarder.protocol(), config.get(), forwarder.freshness());
        logEntry.requestId = result.head() == null ? "" : result.head().requestId();
        switch (result) {
            case CallCheck.Allowed a -> onAllowed(a);
            case CallCheck.Rejected r -> fail(r.status(), r.outcome(), r.message());
            case CallCheck.Undetermined u -> refuse(u.why(), CallerResponse.OTHER_ROUTER_RETRY_MS);
        }
    }

    private void onAllowed(CallCheck.Allowed check) {
        long waitedBeforeMs = forwarder
                .deadlines()
                .waitedBeforeMs(check.route().name(), check.head().deadlineMs(), MonotonicClock.nowMs());
        plan = CallPlan.of(check, arrivedAtMs, waitedBeforeMs);
        timerId = forwarder.vertx().setTimer(Math.max(1, plan.remainingMs()), t -> deadlineExpired());
        forwarder.startScheduler().offer(this, plan);
    }

    /** Refuses the request because the router lacks processor time for it. */
    void refuseOverloaded(long waitMs) {
        if (!finished) {
            refuse("starved", Math.max(CallerResponse.OTHER_ROUTER_RETRY_MS, waitMs));
        }
    }

    /** Starts processing an accepted request. */
    void begin() {
        if (!finished) {
            readBody();
        }
    }

    /** Refuses the request because the first configuration did not arrive in time. */
    void refuseWithoutConfig() {
        refuse("no_config", CallerResponse.OTHER_ROUTER_RETRY_MS);
    }

    private void readBody() {
        int maxBytes = plan.config().limits().maxBodyBytes();
        RequestBodyReader.read(
                request,
                maxBytes,
                received -> {
                    body = received;
                    if (!finished) {
                        fingerprint = plan.fingerprint(request, received);
                        plan = forwarder.retryRecognition().recognize(plan, fingerprint);
                        logEntry.fingerprint = fingerprint;
                        admit();
                    }
                },
                () -> fail(413, "body_too_large", "body above " + maxBytes + " bytes"));
    }

    private void admit() {
        if (forwarder.crashQuarantine().isQuarantined(fingerprint)) {
            refuseQuarantined();
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        Optional<WorkspaceQuotas.Exceeded> exceeded = forwarder.quotas().take(plan, nowMs);
        if (exceeded.isPresent()) {
            logEntry.quotaExceeded(exceeded.get());
            sendRefusal(429, "quota", exceeded.get().waitMs());
            return;
        }
        quotaCharged = true;
        forwarder.retries().countRequest(plan.service(), nowMs);
        stream.resumeAfter(plan.head().lastEventId());
        submit();
    }

    private void submit() {
        if (forwarder.crashQuarantine().isQuarantined(fingerprint)) {
            refuseQuarantined();
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        Call call = call(history.excluded());
        Optional<Verdict.Send> trial =
                history.sendCount() == 0 && stream.resumeAfter().isEmpty()
                        ? forwarder.rollouts().submitTrial(call, plan.route(), nowMs)
                        : Optional.empty();
        onVerdict(trial.isPresent() ? trial.get() : forwarder.placement().submit(call, nowMs));
    }

    private Call call(Set<String> excluded) {
        long events = forwarder
                .lengths()
                .expectedEvents(plan.route().name(), plan.head().expectedOutputTokens());
        return plan.call(excluded, caller.headSent(), events);
    }

    /** Carries out the placement's decision about this request's call. */
    void onVerdict(Verdict verdict) {
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
                attempt = Attempt.start(forwarder, this, s.call(), s.target());
                attempt.run(forwarder.connectionLimit(plan.config(), plan.service()));
            }
            case Verdict.Refuse r -> {
                waiting = null;
                forwarder.dequeue(r.call());
                r.estimate().ifPresent(logEntry::queueWait);
                retryScheduled = r.scheduled();
                endWithoutTarget(r.reason().name().toLowerCase(java.util.Locale.ROOT), r.retryAfterMs());
            }
        }
    }

    private void refuseQuarantined() {
        endWithoutTarget("quarantined", forwarder.crashQuarantine().endsInMs(fingerprint));
    }

    /**
     * Ends the request because it has just been quarantined. If its response has begun, the target may still complete
     * it.
     */
    void quarantined() {
        if (finished || caller.headSent()) {
            return;
        }
        if (attempt != null && attempt.isRunning()) {
            history.markExecuted();
        }
        cancelWork();
        refuseQuarantined();
    }

    /** Ends a call for which no target is available. The response states whether the call may have been executed. */
    private void endWithoutTarget(String why, long retryAfterMs) {
        if (caller.headSent()) {
            abortResponse(why);
        } else if (history.fallback() != null) {
            FallbackResponse fallback = history.fallback();
            forwardResponse(fallback.head(), fallback.response(), fallback.body());
        } else if (history.mayHaveExecuted()) {
            fail(502, why, "the target broke off and no other takes the call");
        } else {
            refuse(why, retryAfterMs);
        }
    }

    @Override
    public boolean prepare(RequestOptions options, TargetState target) {
        if (finished || plan.remainingMs() <= 0 || forwarder.crashQuarantine().isQuarantined(fingerprint)) {
            return false;
        }
        history.recordSend();
        if (history.sendCount() == 1) {
            forwarder.rollouts().callSent(plan.service(), plan.route().name());
        }
        logEntry.sends = history.sendCount();
        logEntry.target = target.info().id();
        plan.outgoing(target.info().id(), stream.resumeAfter()).write(request, forwarder.protocol(), options);
        return true;
    }

    @Override
    public boolean repeatable() {
        return plan.route().repeatable();
    }

    @Override
    public Buffer body() {
        return body;
    }

    @Override
    public RequestFingerprint fingerprint() {
        return fingerprint;
    }

    @Override
    public String routeName() {
        return plan.route().name();
    }

    @Override
    public String requestId() {
        return plan.head().requestId();
    }

    @Override
    public void targetNotices(ResponseHead head) {
        logEntry.targetLeaving |= head.leaving();
        logEntry.targetRetryAfterMs = Math.max(logEntry.targetRetryAfterMs, head.retryAfterMs());
        switch (head.limit()) {
            case AdvertisedLimit.None n -> logEntry.limitPerSecond = -1;
            case AdvertisedLimit.PerSecond p -> logEntry.limitPerSecond = p.perSecond();
            case AdvertisedLimit.Unreadable u -> logEntry.addTrouble("limit", "unreadable " + u.text());
        }
    }

    @Override
    public void notSent(Attempt a, String why) {
        forwarder.metrics().event("sends.unsent");
        logEntry.addTrouble(a.target().info().id(), why);
        if (finished) {
            return;
        }
        history.exclude(a.target());
        if (plan.hasTimeForRetry()) {
            submit();
        } else {
            endWithoutTarget("no_time", 0);
        }
    }

    @Override
    public void notRun(Attempt a, ResponseHead head, HttpClientResponse response) {
        logEntry.addTrouble(a.target().info().id(), "not run, status " + head.status());
        forwarder.metrics().event("sends.shed");
        if (!finished) {
            history.exclude(a.target());
            if (history.consumeRetry(plan, forwarder)) {
                submit();
            } else {
                long refusedForMs = forwarder.placement().refusedForMs(plan.service(), MonotonicClock.nowMs());
                endWithoutTarget("target_full", Math.max(Forwarder.SHED_RETRY_MS, refusedForMs));
            }
        }
    }

    @Override
    public void answered(Attempt a, ResponseHead head, HttpClientResponse response, Buffer responseBody) {
        if (finished) {
            return;
        }
        history.markExecuted();
        forwarder.crashQuarantine().answered(fingerprint);
        boolean retriable = head.status() >= 500 && plan.route().kind() == CallKind.IDEMPOTENT;
        if (retriable && history.fallback() == null) {
            history.exclude(a.target());
            if (history.consumeRetry(plan, forwarder)) {
                history.keepFallback(new FallbackResponse(head, response, responseBody));
                submit();
                return;
            }
        }
        forwardResponse(head, response, responseBody);
    }

    private void forwardResponse(ResponseHead head, HttpClientResponse response, Buffer responseBody) {
        logEntry.firstByteMs = MonotonicClock.nowMs() - arrivedAtMs;
        caller.sendResponse(head.status(), response, responseBody);
        end(head.success() ? "answered" : "target_error", "status " + head.status());
    }

    @Override
    public boolean streamBegins(Attempt a, ResponseHead head, HttpClientResponse response) {
        if (plan.route().kind() != CallKind.STREAM || finished) {
            return false;
        }
        stream.streamStarted();
        if (!caller.headSent()) {
            caller.beginStream(head.status(), response);
        }
        return true;
    }

    @Override
    public void streamBytes(Attempt a, Buffer bytes) {
        Optional<Buffer> events = stream.feed(bytes, a.target());
        if (events.isEmpty()) {
            return;
        }
        if (logEntry.firstByteMs < 0) {
            logEntry.firstByteMs = MonotonicClock.nowMs() - arrivedAtMs;
        }
        if (caller.write(events.get())) {
            a.pause();
            caller.onDrain(a::resume);
        }
    }

    @Override
    public void streamEnded(Attempt a) {
        if (finished) {
            return;
        }
        history.markExecuted();
        if (stream.hasPartialEvent()) {
            connectionBroke(a, "stream ended inside an event");
            return;
        }
        forwarder.crashQuarantine().answered(fingerprint);
        forwarder
                .lengths()
                .ended(plan.route().name(), stream.events(), plan.head().expectedOutputTokens());
        caller.endStream();
        end("answered", "events " + stream.events());
    }

    @Override
    public void connectionBroke(Attempt a, String why) {
        recordBrokenAttempt(a, why);
        if (finished) {
            return;
        }
        boolean retryAllowed =
                plan.route().repeatable() && forwarder.crashQuarantine().mayBeRepeated(fingerprint);
        if (retryAllowed && history.consumeRetry(plan, forwarder)) {
            submit();
        } else {
            endWithoutTarget("target_broke", 0);
        }
    }

    /** Moves the call to another target if one accepts it now; otherwise the silent target may still respond. */
    @Override
    public void silent(Attempt a, String why) {
        Set<String> excluded = new HashSet<>(history.excluded());
        excluded.add(a.target().incarnation());
        boolean canMove = !finished
                && forwarder.placement().canSendNow(call(excluded), MonotonicClock.nowMs())
                && history.consumeRetry(plan, forwarder);
        if (canMove) {
            a.cancel();
            recordBrokenAttempt(a, why);
            submit();
        }
    }

    /** Moves a call that may be repeated off its target, if another one accepts it now. */
    void moveAway(String why) {
        if (attempt != null && attempt.isRunning() && attempt.repeatable()) {
            silent(attempt, why);
        }
    }

    /** The target that may be executing the call. */
    Optional<TargetState> runningOn() {
        return Optional.ofNullable(attempt).filter(Attempt::isRunning).map(Attempt::target);
    }

    private void recordBrokenAttempt(Attempt a, String why) {
        history.markExecuted();
        history.exclude(a.target());
        logEntry.addTrouble(a.target().info().id(), why);
        forwarder.metrics().event("sends.broken");
    }

    private void deadlineExpired() {
        abort(504, "timeout", "no whole answer within the time there was", 0);
    }

    /** Ends a call that is still in progress when the process exits, and logs that as the reason. */
    void abortByShutdown() {
        abort(502, "stop", "the router was stopped before the answer was whole", CallerResponse.OTHER_ROUTER_RETRY_MS);
    }

    /** Ends a call that has no time left. The response states whether the call may have been executed. */
    private void abort(int status, String why, String message, long retryAfterMs) {
        if (finished) {
            return;
        }
        if (attempt != null) {
            attempt.expire();
        }
        cancelWork();
        if (caller.headSent()) {
            abortResponse(why);
        } else if (history.sendCount() > 0) {
            fail(status, why, message);
        } else {
            refuse(why, retryAfterMs);
        }
    }

    /** Stops all work for a caller that has disconnected. */
    private void callerDisconnected() {
        if (!finished) {
            cancelWork();
            end("caller_left", "");
        }
    }

    private void cancelWork() {
        if (waiting != null) {
            forwarder.placement().withdraw(waiting);
            forwarder.dequeue(waiting);
            waiting = null;
        }
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Refuses a call that was not executed. */
    private void refuse(String why, long retryAfterMs) {
        sendRefusal(503, why, retryAfterMs);
    }

    private void sendRefusal(int status, String why, long retryAfterMs) {
        forwarder.metrics().event("refused." + why);
        forwarder.deadlines().refused(MonotonicClock.nowMs());
        if (plan != null) {
            forwarder.retryRecognition().refused(plan, fingerprint, retryAfterMs);
        }
        logEntry.scheduledRetryMs = retryScheduled ? retryAfterMs : -1;
        caller.refuse(status, why, retryAfterMs, retryScheduled);
        end("refused", why);
    }

    private void fail(int status, String outcome, String message) {
        if (!finished) {
            caller.fail(status, message);
            end("failed", outcome);
        }
    }

    /** Truncates a response that cannot be completed, so that it does not look complete. */
    private void abortResponse(String why) {
        caller.abortResponse();
        end("cut_off", why);
    }

    private void end(String outcome, String why) {
        if (finished) {
            return;
        }
        finished = true;
        if (!request.isEnded()) {
            // Discard the rest of the body, so that the connection can be reused.
            request.handler(b -> {}).resume();
        }
        if (timerId >= 0) {
            forwarder.vertx().cancelTimer(timerId);
        }
        if (history.sendCount() == 0 && quotaCharged) {
            forwarder.quotas().giveBack(plan, MonotonicClock.nowMs());
        }
        forwarder.exchangeEnded(this, request.connection());
        logEntry.longestGapMs = stream.longestGapMs();
        logEntry.write(forwarder, plan, MonotonicClock.nowMs() - arrivedAtMs, outcome, why);
    }
}
