package org.onyxhinge.router.forward;

import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.move.MoveEvent;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.core.quarantine.Quarantine;
import org.onyxhinge.core.quarantine.Suspects;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.router.connection.TargetConnection;
import org.onyxhinge.wire.MonotonicClock;

/**
 * Decides what becomes of one request when an attempt to send it reports a step: whether its caller gets what the
 * target sent, whether the request is sent again, or whether it ends.
 */
final class AttemptResults implements AttemptOwner {

    private static final int INTERNAL_SERVER_ERROR = 500;

    private final Forwarder forwarder;
    private final Exchange exchange;
    private final CallerResponse caller;
    private final AttemptHistory history;
    private final ExchangeEnd end;
    private final CallLogEntry logEntry;
    private final StreamProgress stream;
    private final CallAttempts attempts;
    /** Whether the attempt is the trial of something in the request that is quarantined. */
    private boolean onTrial;

    AttemptResults(
            Forwarder forwarder,
            Exchange exchange,
            CallerResponse caller,
            AttemptHistory history,
            ExchangeEnd end,
            CallLogEntry logEntry,
            StreamProgress stream) {
        this.forwarder = forwarder;
        this.exchange = exchange;
        this.caller = caller;
        this.history = history;
        this.end = end;
        this.logEntry = logEntry;
        this.stream = stream;
        this.attempts = new CallAttempts(forwarder, this, logEntry);
    }

    private CallPlan plan() {
        return exchange.plan();
    }

    /** The attempts themselves. */
    CallAttempts attempts() {
        return attempts;
    }

    @Override
    public boolean prepare(RequestOptions options, Attempt a) {
        if (end.finished() || plan().remainingMs() <= 0) {
            return false;
        }
        Quarantine.Decision decision = forwarder.crashQuarantine().beginSend(exchange.suspects());
        if (decision == Quarantine.Decision.WITHHOLD) {
            return false;
        }
        if (decision == Quarantine.Decision.TRY && attempts.isMoving()) {
            forwarder.crashQuarantine().trialEnded(exchange.suspects());
            return false;
        }
        onTrial = decision == Quarantine.Decision.TRY;
        history.recordSend(a.target());
        if (history.sendCount() == 1) {
            forwarder.rollouts().callSent(plan().service(), plan().route().name());
        }
        logEntry.sends = history.sendCount();
        if (attempts.isOther(a)) {
            attempts.on(MoveEvent.SENT);
        } else {
            isWith(a.target());
        }
        plan().outgoing(a.target().info().id(), stream.resumeAfter())
                .write(exchange.request(), forwarder.protocol(), options);
        return true;
    }

    /** Sets the target whose response is passed on. */
    private void isWith(TargetState target) {
        String version = target.info().version();
        logEntry.target = target.info().id();
        logEntry.targetVersion = version;
        logEntry.targetListAgeMs = forwarder.targets().listProof().ageMs();
        logEntry.targetListBy = forwarder.targets().listProof().way();
        stream.sentTo(version);
        forwarder.streamOrigins().sending(plan(), exchange.request(), version);
    }

    @Override
    public boolean repeatable() {
        return exchange.repeatable();
    }

    @Override
    public Buffer body() {
        return exchange.body();
    }

    @Override
    public BodyMemory.Share memory() {
        return exchange.memory();
    }

    @Override
    public Suspects suspects() {
        return exchange.suspects();
    }

    @Override
    public void attemptEnded(TargetConnection connection) {
        if (connection != null) {
            logEntry.connection(connection);
        }
        if (onTrial) {
            onTrial = false;
            forwarder.crashQuarantine().trialEnded(exchange.suspects());
        }
    }

    @Override
    public HttpMethod method() {
        return exchange.request().method();
    }

    @Override
    public String routeName() {
        return plan().route().name();
    }

    @Override
    public String requestId() {
        return plan().head().requestId();
    }

    @Override
    public void responseReceived(ResponseHead head) {
        logEntry.response(head);
    }

    @Override
    public void notSent(Attempt a, String why) {
        forwarder.metrics().event("sends.unsent");
        logEntry.addTrouble(a.target().info().id(), why);
        if (end.finished()) {
            return;
        }
        history.exclude(a.target());
        if (attempts.isOther(a)) {
            attempts.on(MoveEvent.OTHER_FAILED);
            return;
        }
        if (plan().hasTimeForRetry()) {
            exchange.submit();
        } else {
            end.withoutTarget("no_time", 0);
        }
    }

    @Override
    public void notRun(Attempt a, ResponseHead head, HttpClientResponse response) {
        logEntry.addTrouble(a.target().info().id(), "not run, status " + head.status());
        forwarder.metrics().event("sends.shed");
        if (!end.finished()) {
            history.exclude(a.target());
            if (attempts.isOther(a)) {
                attempts.on(MoveEvent.OTHER_FAILED);
            } else if (attempts.isMoving()) {
                attempts.on(MoveEvent.FIRST_FAILED);
            } else if (history.consumeRetry(plan(), forwarder)) {
                exchange.submit();
            } else {
                long refusedForMs = forwarder.placement().refusedForMs(plan().service(), MonotonicClock.nowMs());
                end.withoutTarget("target_full", Math.max(Forwarder.SHED_RETRY_MS, refusedForMs));
            }
        }
    }

    @Override
    public void answered(Attempt a, ResponseHead head, HttpClientResponse response, Buffer responseBody) {
        if (end.finished()) {
            return;
        }
        history.markExecuted();
        clearSuspects(a, head);
        if (attempts.isOther(a) && !head.success()) {
            logEntry.addTrouble(a.target().info().id(), "status " + head.status());
            history.exclude(a.target());
            attempts.on(MoveEvent.OTHER_FAILED);
            return;
        }
        if (caller.headSent()) {
            continueElsewhere(a, "status " + head.status());
            return;
        }
        boolean retriable =
                head.status() >= INTERNAL_SERVER_ERROR && plan().route().kind() == CallKind.IDEMPOTENT;
        if (retriable && attempts.isMoving()) {
            history.exclude(a.target());
            history.keepFallback(new FallbackResponse(head, response, responseBody));
            attempts.on(MoveEvent.FIRST_FAILED);
            return;
        }
        attempts.responded(a);
        if (retriable && history.fallback() == null) {
            history.exclude(a.target());
            if (history.consumeRetry(plan(), forwarder)) {
                history.keepFallback(new FallbackResponse(head, response, responseBody));
                exchange.submit();
                return;
            }
        }
        end.forward(head, response, responseBody);
    }

    /** Continues a stream whose target has answered with something else, which its caller cannot get. */
    private void continueElsewhere(Attempt a, String why) {
        logEntry.addTrouble(a.target().info().id(), why);
        history.exclude(a.target());
        if (attempts.isMoving()) {
            attempts.on(MoveEvent.FIRST_FAILED);
        } else if (repeatable() && history.consumeRetry(plan(), forwarder)) {
            exchange.submit();
        } else {
            end.cutOff(why);
        }
    }

    @Override
    public boolean streamBegins(Attempt a, ResponseHead head, HttpClientResponse response) {
        if (plan().route().kind() != CallKind.STREAM || end.finished()) {
            return false;
        }
        if (attempts.isOther(a)) {
            attempts.streamBegins(new CallMove.StreamHead(head.status(), response));
            return true;
        }
        stream.streamStarted();
        if (!caller.headSent()) {
            caller.beginStream(head.status(), response);
        }
        return true;
    }

    @Override
    public void streamBytes(Attempt a, Buffer bytes) {
        boolean other = attempts.isOther(a);
        Optional<Buffer> events = other ? attempts.feedOther(bytes) : stream.feed(bytes, a.target());
        if (other ? attempts.isOtherMalformed() : stream.isMalformed()) {
            a.reject("stream with an event longer than " + EventSplitter.MAX_EVENT_BYTES + " bytes");
            return;
        }
        if (events.isEmpty()) {
            return;
        }
        attempts.responded(a);
        if (logEntry.firstByteMs < 0) {
            logEntry.firstByteMs = MonotonicClock.nowMs() - exchange.arrivedAtMs();
        }
        if (caller.write(events.get())) {
            a.pause();
            caller.onDrain(() -> {
                stream.readingResumed();
                a.resume();
            });
        }
    }

    @Override
    public boolean isInsideEvent(Attempt a) {
        return attempts.isOther(a) ? attempts.isOtherInsideEvent() : stream.hasPartialEvent();
    }

    @Override
    public void streamEnded(Attempt a) {
        if (end.finished()) {
            return;
        }
        attempts.responded(a);
        history.markExecuted();
        forwarder.crashQuarantine().answered(exchange.suspects(), a);
        forwarder
                .lengths()
                .ended(plan().route().name(), stream.events(), plan().head().expectedOutputTokens());
        end.streamEnded(stream.events());
    }

    /**
     * A target that fails may not have begun to work on the request, and one that rejects it has not used its prompt.
     */
    private void clearSuspects(Attempt a, ResponseHead head) {
        if (head.success()) {
            forwarder.crashQuarantine().answered(exchange.suspects(), a);
        } else if (head.status() < INTERNAL_SERVER_ERROR) {
            forwarder.crashQuarantine().answered(exchange.suspects().withoutParts(), a);
        }
    }

    @Override
    public void connectionBroke(Attempt a, String why) {
        recordBrokenAttempt(a, why);
        if (end.finished()) {
            return;
        }
        if (attempts.isOther(a)) {
            attempts.on(MoveEvent.OTHER_FAILED);
            return;
        }
        boolean retryAllowed =
                exchange.repeatable() && forwarder.crashQuarantine().mayBeRepeated(exchange.suspects());
        if (attempts.isMoving() && retryAllowed) {
            attempts.on(MoveEvent.FIRST_FAILED);
            return;
        }
        attempts.on(MoveEvent.CALL_ENDED);
        if (retryAllowed && history.consumeRetry(plan(), forwarder)) {
            exchange.submit();
        } else {
            end.withoutTarget("target_broke", 0);
        }
    }

    @Override
    public void partLost(Attempt a, String why) {
        recordBrokenAttempt(a, why);
        if (end.finished()) {
            return;
        }
        if (attempts.isOther(a)) {
            attempts.on(MoveEvent.OTHER_FAILED);
        } else {
            exchange.cancelWork();
            end.withoutTarget("part_lost", 0);
        }
    }

    /** Moves the call to another target; until it is decided, the silent one may still answer. */
    @Override
    public void silent(Attempt a, String why) {
        long nowMs = MonotonicClock.nowMs();
        if (!end.finished() && attempts.isOther(a)) {
            logEntry.addTrouble(a.target().info().id(), why);
            history.exclude(a.target());
            attempts.on(MoveEvent.OTHER_FAILED);
            return;
        }
        if (end.finished() || onTrial || !attempts.mayMove(a, nowMs)) {
            return;
        }
        Set<String> excluded = exchange.excluded();
        excluded.add(a.target().incarnation());
        Call call = exchange.call(excluded);
        if (!forwarder.placement().canSendNow(call, nowMs) || !history.consumeRetry(plan(), forwarder)) {
            return;
        }
        switch (forwarder.placement().submit(call, nowMs)) {
            case Verdict.Send s -> attempts.move(s, plan(), why);
            case Verdict.Wait w -> forwarder.placement().withdraw(w.call());
            case Verdict.Refuse r -> logEntry.addTrouble(a.target().info().id(), "not moved: " + r.reason());
        }
    }

    /** The call has been moved: the other target has it now. */
    void moved(CallMove move) {
        TargetState target = move.other().target();
        isWith(target);
        if (plan().route().kind() == CallKind.STREAM) {
            stream.continueWith(move.splitter(), target);
            move.head().filter(h -> !caller.headSent()).ifPresent(h -> caller.beginStream(h.status(), h.response()));
        }
        Attempt first = move.first();
        if (first.isRunning()) {
            history.leave(first.target());
            recordTrouble(first, move.why());
            first.cancel();
        }
    }

    /** Moves a call that another version may run off its target, if another one accepts it now. */
    void moveAway(String why) {
        boolean anyVersion = stream.version().isEmpty();
        if (anyVersion && repeatable() && attempts.isRunning()) {
            silent(attempts.current().get(), why);
        }
    }

    private void recordBrokenAttempt(Attempt a, String why) {
        history.exclude(a.target());
        recordTrouble(a, why);
    }

    private void recordTrouble(Attempt a, String why) {
        history.markExecuted();
        String version = a.target().info().version();
        String progress = stream.events() == 0
                ? ""
                : " after event " + stream.resumeAfter().orElse("");
        logEntry.addTrouble(a.target().info().id() + " " + version, why + progress);
        forwarder.metrics().event("sends.broken");
    }
}
