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
 * One request of a caller, from its head to its one final answer. It is checked, waits for a place, is sent
 * to a target, and is sent to another only where that cannot run it twice or its route allows it.
 */
final class Exchange implements Attempt.Owner {

    private final Forwarder forwarder;
    private final HttpServerRequest request;
    private final CallerSide caller;
    private final long arrivedAtMs = MonotonicClock.nowMs();
    private final Tries tries = new Tries();
    private final CallRecord record = new CallRecord();
    private CallPlan plan;
    private Buffer body = Buffer.buffer();
    private RequestFingerprint fingerprint = RequestFingerprint.NONE;
    private boolean quotaTaken;
    private boolean over;
    private Call waiting;
    private Attempt attempt;
    private long timerId = -1;
    private final StreamProgress stream = new StreamProgress();

    private Exchange(Forwarder forwarder, HttpServerRequest request) {
        this.forwarder = forwarder;
        this.request = request;
        this.caller = new CallerSide(request, () -> !forwarder.ready());
    }

    /** Takes a request in. */
    static void begin(Forwarder forwarder, HttpServerRequest request) {
        Exchange x = new Exchange(forwarder, request);
        forwarder.exchanges().add(x);
        request.response().exceptionHandler(e -> x.callerLeft());
        request.response().closeHandler(v -> x.callerLeft());
        request.pause();
        x.check();
    }

    /** Looks at the request's head, once there is a configuration to look at it by. */
    void check() {
        if (over) {
            return;
        }
        if (forwarder.stop().leaving()) {
            refuse("leaving", CallerSide.ELSEWHERE_RETRY_MS);
            return;
        }
        Optional<ConfirmedConfig> inForce = forwarder.inForce();
        if (inForce.isEmpty()) {
            forwarder.holdEarly(this);
            return;
        }
        record.proofAgeMs = forwarder.freshness().ageMs(inForce.get().confirmedAtMs());
        CallCheck result = CallCheck.of(request, forwarder.protocol(), inForce.get(), forwarder.freshness());
        record.requestId = result.head() == null ? "" : result.head().requestId();
        switch (result) {
            case CallCheck.Allowed a -> allowed(a);
            case CallCheck.Wrong w -> fail(w.status(), w.outcome(), w.message());
            case CallCheck.NotHere n -> refuse(n.why(), CallerSide.ELSEWHERE_RETRY_MS);
        }
    }

    private void allowed(CallCheck.Allowed check) {
        long waitedBeforeMs = forwarder
                .deadlines()
                .waitedBeforeMs(check.route().name(), check.head().deadlineMs(), MonotonicClock.nowMs());
        plan = CallPlan.of(check, arrivedAtMs, waitedBeforeMs);
        timerId = forwarder.vertx().setTimer(Math.max(1, plan.leftMs()), t -> timeIsUp());
        forwarder.intake().offer(this, plan);
    }

    /** The router has no processor time for it. */
    void refuseStarved(long waitMs) {
        if (!over) {
            refuse("starved", Math.max(CallerSide.ELSEWHERE_RETRY_MS, waitMs));
        }
    }

    /** Begins the work on a request that may go on. */
    void begin() {
        if (!over) {
            readBody();
        }
    }

    /** The first configuration has not come in time. */
    void refuseEarly() {
        refuse("no_config", CallerSide.ELSEWHERE_RETRY_MS);
    }

    private void readBody() {
        int most = plan.config().limits().maxBodyBytes();
        CallBody.read(
                request,
                most,
                whole -> {
                    body = whole;
                    if (!over) {
                        fingerprint = plan.fingerprint(request, whole);
                        record.fingerprint = fingerprint;
                        admit();
                    }
                },
                () -> fail(413, "body_too_large", "body above " + most + " bytes"));
    }

    private void admit() {
        if (forwarder.crashing().holds(fingerprint)) {
            keptFromTargets();
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        Optional<WorkspaceQuotas.Exceeded> exceeded = forwarder.quotas().take(plan, nowMs);
        if (exceeded.isPresent()) {
            record.quota(exceeded.get());
            answerRefused(429, "quota", exceeded.get().waitMs());
            return;
        }
        quotaTaken = true;
        forwarder.retries().countRequest(plan.service(), nowMs);
        stream.resumeAfter(plan.head().lastEventId());
        place();
    }

    private void place() {
        if (forwarder.crashing().holds(fingerprint)) {
            keptFromTargets();
            return;
        }
        verdict(forwarder.placement().submit(call(tries.avoid()), MonotonicClock.nowMs()));
    }

    private Call call(Set<String> avoid) {
        long events = forwarder
                .lengths()
                .expectedEvents(plan.route().name(), plan.head().expectedOutputTokens());
        return plan.call(avoid, caller.headSent(), events);
    }

    /** Carries out what the placement decided for this request's call. */
    void verdict(Verdict verdict) {
        switch (verdict) {
            case Verdict.Wait w -> {
                waiting = w.call();
                forwarder.waits(w.call(), this);
            }
            case Verdict.Send s -> {
                waiting = null;
                forwarder.waitsNoLonger(s.call());
                record.sentAfterMs = MonotonicClock.nowMs() - arrivedAtMs;
                record.targetCalls = s.target().calls();
                attempt = Attempt.start(forwarder, this, s.call(), s.target());
                attempt.run(forwarder.mostConnections(plan.config(), plan.service()));
            }
            case Verdict.Refuse r -> {
                waiting = null;
                forwarder.waitsNoLonger(r.call());
                r.estimate().ifPresent(record::queue);
                noPlace(r.reason().name().toLowerCase(java.util.Locale.ROOT), r.retryAfterMs());
            }
        }
    }

    private void keptFromTargets() {
        noPlace("quarantined", forwarder.crashing().endsInMs(fingerprint));
    }

    /** Its request is quarantined from now on. A target that has begun to answer it may still end. */
    void quarantined() {
        if (over || caller.headSent()) {
            return;
        }
        if (attempt != null && attempt.underWay()) {
            tries.ran();
        }
        stopWork();
        keptFromTargets();
    }

    /** No further target takes the call: ends it as honestly as what has happened before allows. */
    private void noPlace(String why, long retryAfterMs) {
        if (caller.headSent()) {
            cutOff(why);
        } else if (tries.kept() != null) {
            KeptAnswer kept = tries.kept();
            passOn(kept.head(), kept.response(), kept.body());
        } else if (tries.mayHaveRun()) {
            fail(502, why, "the target broke off and no other takes the call");
        } else {
            refuse(why, retryAfterMs);
        }
    }

    @Override
    public boolean prepare(RequestOptions options, TargetState target) {
        if (over || plan.leftMs() <= 0 || forwarder.crashing().holds(fingerprint)) {
            return false;
        }
        tries.sent();
        record.sends = tries.sends();
        record.target = target.info().id();
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
    public String requestId() {
        return plan.head().requestId();
    }

    @Override
    public void limitNamed(AdvertisedLimit limit) {
        switch (limit) {
            case AdvertisedLimit.None n -> record.limitPerSecond = -1;
            case AdvertisedLimit.PerSecond p -> record.limitPerSecond = p.perSecond();
            case AdvertisedLimit.Unreadable u -> record.note("limit", "unreadable " + u.text());
        }
    }

    @Override
    public void unsent(Attempt a, String why) {
        forwarder.metrics().event("sends.unsent");
        record.note(a.target().info().id(), why);
        if (over) {
            return;
        }
        tries.avoid(a.target());
        if (plan.timeForAnother()) {
            place();
        } else {
            noPlace("no_time", 0);
        }
    }

    @Override
    public void notRun(Attempt a, AnswerHead answer, HttpClientResponse response) {
        record.note(a.target().info().id(), "not run, status " + answer.status());
        forwarder.metrics().event("sends.shed");
        if (!over) {
            tries.avoid(a.target());
            if (tries.mayRepeat(plan, forwarder)) {
                place();
            } else {
                noPlace("target_full", Forwarder.SHED_RETRY_MS);
            }
        }
    }

    @Override
    public void answered(Attempt a, AnswerHead answer, HttpClientResponse response, Buffer whole) {
        if (over) {
            return;
        }
        tries.ran();
        forwarder.crashing().answered(fingerprint);
        boolean worthAnotherTry = answer.status() >= 500 && plan.route().kind() == CallKind.IDEMPOTENT;
        if (worthAnotherTry && tries.kept() == null) {
            tries.avoid(a.target());
            if (tries.mayRepeat(plan, forwarder)) {
                tries.keep(new KeptAnswer(answer, response, whole));
                place();
                return;
            }
        }
        passOn(answer, response, whole);
    }

    private void passOn(AnswerHead answer, HttpClientResponse response, Buffer whole) {
        record.firstByteMs = MonotonicClock.nowMs() - arrivedAtMs;
        caller.answer(answer.status(), response, whole);
        end(answer.success() ? "answered" : "target_error", "status " + answer.status());
    }

    @Override
    public boolean streamBegins(Attempt a, AnswerHead answer, HttpClientResponse response) {
        if (plan.route().kind() != CallKind.STREAM || over) {
            return false;
        }
        stream.begins();
        if (!caller.headSent()) {
            caller.beginStream(answer.status(), response);
        }
        return true;
    }

    @Override
    public void streamBytes(Attempt a, Buffer bytes) {
        Optional<Buffer> whole = stream.feed(bytes, a.target());
        if (whole.isEmpty()) {
            return;
        }
        if (record.firstByteMs < 0) {
            record.firstByteMs = MonotonicClock.nowMs() - arrivedAtMs;
        }
        if (caller.write(whole.get())) {
            a.pause();
            caller.onDrain(a::resume);
        }
    }

    @Override
    public void streamEnded(Attempt a) {
        if (over) {
            return;
        }
        tries.ran();
        if (stream.insideAnEvent()) {
            broke(a, "stream ended inside an event");
            return;
        }
        forwarder.crashing().answered(fingerprint);
        forwarder
                .lengths()
                .ended(plan.route().name(), stream.events(), plan.head().expectedOutputTokens());
        caller.endStream();
        end("answered", "events " + stream.events());
    }

    @Override
    public void broke(Attempt a, String why) {
        notAnsweredBy(a, why);
        if (over) {
            return;
        }
        boolean mayGoOn = plan.route().repeatable() && forwarder.crashing().mayBeRepeated(fingerprint);
        if (mayGoOn && tries.mayRepeat(plan, forwarder)) {
            place();
        } else {
            noPlace("target_broke", 0);
        }
    }

    /** Goes on at another target if one takes it now; if none does, the silent one may still answer. */
    @Override
    public void silent(Attempt a, String why) {
        Set<String> tried = new HashSet<>(tries.avoid());
        tried.add(a.target().incarnation());
        boolean goesOn = !over
                && forwarder.placement().canSendNow(call(tried), MonotonicClock.nowMs())
                && tries.mayRepeat(plan, forwarder);
        if (goesOn) {
            a.cancel();
            notAnsweredBy(a, why);
            place();
        }
    }

    private void notAnsweredBy(Attempt a, String why) {
        tries.ran();
        tries.avoid(a.target());
        record.note(a.target().info().id(), why);
        forwarder.metrics().event("sends.broken");
    }

    private void timeIsUp() {
        giveUp(504, "timeout", "no whole answer within the time there was", 0);
    }

    /** The process ends before the call does: it is told so, and its line says what cut it. */
    void cutByStop() {
        giveUp(502, "stop", "the router was stopped before the answer was whole", CallerSide.ELSEWHERE_RETRY_MS);
    }

    /** Ends a call for which no time is left, as honestly as what has happened before allows. */
    private void giveUp(int status, String why, String message, long retryAfterMs) {
        if (over) {
            return;
        }
        stopWork();
        if (caller.headSent()) {
            cutOff(why);
        } else if (tries.sends() > 0) {
            fail(status, why, message);
        } else {
            refuse(why, retryAfterMs);
        }
    }

    /** The caller has gone: whatever works for it stops at once. */
    private void callerLeft() {
        if (!over) {
            stopWork();
            end("caller_left", "");
        }
    }

    private void stopWork() {
        if (waiting != null) {
            forwarder.placement().withdraw(waiting);
            forwarder.waitsNoLonger(waiting);
            waiting = null;
        }
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Refuses a call that has not run. */
    private void refuse(String why, long retryAfterMs) {
        answerRefused(503, why, retryAfterMs);
    }

    private void answerRefused(int status, String why, long retryAfterMs) {
        forwarder.metrics().event("refused." + why);
        forwarder.deadlines().refused(MonotonicClock.nowMs());
        caller.refuse(status, why, retryAfterMs);
        end("refused", why);
    }

    private void fail(int status, String outcome, String message) {
        if (!over) {
            caller.fail(status, message);
            end("failed", outcome);
        }
    }

    /** Ends an answer that cannot be completed, so that it does not look whole. */
    private void cutOff(String why) {
        caller.cutOff();
        end("cut_off", why);
    }

    private void end(String outcome, String why) {
        if (over) {
            return;
        }
        over = true;
        if (!request.isEnded()) {
            // What is left of a body nobody wants is read and dropped, so that the connection can be used on.
            request.handler(b -> {}).resume();
        }
        if (timerId >= 0) {
            forwarder.vertx().cancelTimer(timerId);
        }
        if (tries.sends() == 0 && quotaTaken) {
            forwarder.quotas().giveBack(plan, MonotonicClock.nowMs());
        }
        forwarder.ended(this, request.connection());
        record.longestGapMs = stream.longestGapMs();
        record.finish(forwarder, plan, MonotonicClock.nowMs() - arrivedAtMs, outcome, why);
    }
}
