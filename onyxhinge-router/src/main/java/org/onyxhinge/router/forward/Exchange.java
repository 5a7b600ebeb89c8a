package org.onyxhinge.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.ForwardingConfig;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.core.route.WorkspaceAccess;
import org.onyxhinge.wire.MonotonicClock;

/**
 * One request of a caller, from its head to its one final answer. It is checked against one version of
 * the configuration, waits for a place, is sent to a target, and is sent to another only where that
 * cannot run it twice or its route allows it.
 */
final class Exchange implements Attempt.Owner {

    private static final long MS_PER_SECOND = 1_000;
    /** A caller who sends less than this part of its route's timeout as its deadline has come back. */
    private static final double FIRST_TRY_DEADLINE_PART = 0.97;

    /** Workspaces' ranks go before routes' ranks, which are below this. */
    private static final int RANKS_OF_ROUTES = 1_000;

    /**
     * A call may wait this much beyond its target latency: a late answer is still of use, but a stream's
     * caller leaves after a gap of 2 s, 4 latencies or 8 pauses.
     */
    private static final long LATE_HOLD_MS = 600;

    /**
     * For refusals that concern this router alone: a caller who comes back meets another one, so the best time
     * is at once; a little later lets a balancer that has just lost this one take notice.
     */
    private static final long ELSEWHERE_RETRY_MS = 40;

    /** Below this, a further target could not answer in time. */
    private static final long LEAST_TIME_FOR_RETRY_MS = 30;

    private final Forwarder forwarder;
    private final HttpServerRequest request;
    private final CallerSide caller;
    private final long arrivedAtMs = MonotonicClock.nowMs();
    private final Set<String> tried = new HashSet<>();
    private final CallRecord record = new CallRecord();
    private CallHead head;
    private ForwardingConfig config;
    private Route route;
    private Optional<WorkspaceAccess> workspace = Optional.empty();
    private String service;
    private Buffer body = Buffer.buffer();
    private long unitsTaken;
    private long endsAtMs;
    private int sends;
    private boolean ran;
    private boolean over;
    private Call waiting;
    private Attempt attempt;
    private long timerId = -1;
    private EventSplitter events = new EventSplitter();
    private Optional<String> resumeAfter = Optional.empty();
    private long lastEventAtMs;
    private KeptAnswer kept;

    /** An answer that a target gave and that is passed on if a further try gives none. */
    private record KeptAnswer(AnswerHead head, HttpClientResponse response, Buffer body) {}

    private Exchange(Forwarder forwarder, HttpServerRequest request) {
        this.forwarder = forwarder;
        this.request = request;
        this.caller = new CallerSide(request, forwarder::draining);
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
        if (forwarder.leaving()) {
            refuse("leaving", ELSEWHERE_RETRY_MS);
            return;
        }
        config = forwarder.config();
        if (config == null) {
            forwarder.holdEarly(this);
            return;
        }
        var read = forwarder.protocol().readCall(request);
        if (read.isLeft()) {
            fail(400, "malformed", read.getLeft());
            return;
        }
        head = read.get();
        record.requestId = head.requestId();
        Optional<Route> match = config.match(hostOf(request), request.path() == null ? "" : request.path());
        if (match.isEmpty()) {
            fail(404, "no_route", "no route for this host and path");
            return;
        }
        route = match.get();
        if (!route.keyless() && !authorised()) {
            return;
        }
        service = route.pick(ThreadLocalRandom.current().nextDouble());
        endsAtMs = arrivedAtMs + Math.min(head.deadlineMs(), route.timeoutMs());
        timerId = forwarder.vertx().setTimer(Math.max(1, endsAtMs - arrivedAtMs), t -> timeIsUp());
        readBody();
    }

    /** The first configuration has not come in time. */
    void refuseEarly() {
        refuse("no_config", ELSEWHERE_RETRY_MS);
    }

    private boolean authorised() {
        workspace = head.apiKey().flatMap(config::workspaceOfKey);
        if (!forwarder.freshness().holds()) {
            refuse("no_fresh_proof", ELSEWHERE_RETRY_MS);
            return false;
        }
        if (workspace.isEmpty()) {
            fail(401, "unknown_key", "unknown API key");
            return false;
        }
        return true;
    }

    private static String hostOf(HttpServerRequest request) {
        String host = request.getHeader("Host");
        return host == null ? "" : host;
    }

    private void readBody() {
        int most = config.limits().maxBodyBytes();
        request.handler(b -> {
            if (body.length() + b.length() > most) {
                fail(413, "body_too_large", "body above " + most + " bytes");
            } else if (!over) {
                body.appendBuffer(b);
            }
        });
        request.endHandler(v -> {
            if (!over) {
                admit();
            }
        });
        request.resume();
    }

    private void admit() {
        long nowMs = MonotonicClock.nowMs();
        if (workspace.isPresent()) {
            long units = workspace.get().units(head.tokens());
            Optional<Long> wait = forwarder.quotas().take(workspace.get(), units, route.priority(), nowMs);
            if (wait.isPresent()) {
                answerRefused(429, "quota", wait.get());
                return;
            }
            unitsTaken = units;
        }
        forwarder.retries().requested(service, nowMs);
        resumeAfter = head.lastEventId();
        place();
    }

    private void place() {
        long nowMs = MonotonicClock.nowMs();
        long onTimeUntilMs = arrivedAtMs + route.targetLatencyMs();
        long holdUntilMs = Math.min(onTimeUntilMs + LATE_HOLD_MS, endsAtMs - LEAST_TIME_FOR_RETRY_MS);
        boolean returned = head.deadlineMs() < route.timeoutMs() * FIRST_TRY_DEADLINE_PART;
        boolean model = config.service(service).map(s -> s.modelEngine()).orElse(false);
        Call call = Call.of(service, arrivedAtMs)
                .rank(rank(), returned)
                .times(onTimeUntilMs, Math.max(holdUntilMs, caller.headSent() ? endsAtMs : 0))
                .work(
                        model ? head.promptTokens() : 0,
                        model ? forwarder.lengths().expectedEvents(route, head) : 0)
                .avoid(tried)
                .build();
        verdict(forwarder.placement().submit(call, nowMs));
    }

    private int rank() {
        OptionalInt own = workspace.map(WorkspaceAccess::priority).orElse(OptionalInt.empty());
        return own.orElse(0) * RANKS_OF_ROUTES + route.priority();
    }

    /** Carries out what the placement decided for this request's call. */
    void verdict(Verdict verdict) {
        switch (verdict) {
            case Verdict.Wait w -> {
                waiting = w.call();
                forwarder.waiting().put(w.call(), this);
            }
            case Verdict.Send s -> {
                waiting = null;
                forwarder.waiting().remove(s.call());
                record.sentAfterMs = MonotonicClock.nowMs() - arrivedAtMs;
                attempt = Attempt.start(forwarder, this, s.call(), s.target());
                attempt.run(forwarder.mostConnections(config, service));
            }
            case Verdict.Refuse r -> {
                waiting = null;
                forwarder.waiting().remove(r.call());
                noPlace(r.reason().name().toLowerCase(java.util.Locale.ROOT), r.retryAfterMs());
            }
        }
    }

    /** No further target takes the call: ends it as honestly as what has happened before allows. */
    private void noPlace(String why, long retryAfterMs) {
        if (caller.headSent()) {
            cutOff(why);
        } else if (kept != null) {
            passOn(kept.head(), kept.response(), kept.body());
        } else if (ran) {
            fail(502, why, "the target broke off and no other takes the call");
        } else {
            refuse(why, retryAfterMs);
        }
    }

    @Override
    public boolean prepare(RequestOptions options, TargetState target) {
        long leftMs = endsAtMs - MonotonicClock.nowMs();
        if (over || leftMs <= 0) {
            return false;
        }
        sends++;
        record.sends = sends;
        record.target = target.info().id();
        options.setMethod(request.method()).setURI(request.uri());
        forwarder
                .protocol()
                .writeCall(
                        request.headers(),
                        new OutgoingCall(target.info().id(), leftMs, workspace.map(WorkspaceAccess::name), resumeAfter),
                        options.getHeaders() == null
                                ? options.setHeaders(io.vertx.core.MultiMap.caseInsensitiveMultiMap())
                                        .getHeaders()
                                : options.getHeaders());
        return true;
    }

    @Override
    public boolean repeatable() {
        return route.repeatable();
    }

    @Override
    public Buffer body() {
        return body;
    }

    @Override
    public String requestId() {
        return head.requestId();
    }

    @Override
    public void unsent(Attempt a, String why) {
        forwarder.metrics().event("sends.unsent");
        record.note(a.target().info().id(), why);
        if (over) {
            return;
        }
        tried.add(a.target().info().id());
        if (endsAtMs - MonotonicClock.nowMs() < LEAST_TIME_FOR_RETRY_MS) {
            noPlace("no_time", 0);
        } else {
            place();
        }
    }

    @Override
    public void notRun(Attempt a, AnswerHead answer, HttpClientResponse response) {
        record.note(a.target().info().id(), "not run, status " + answer.status());
        forwarder.metrics().event("sends.shed");
        if (!over) {
            tried.add(a.target().info().id());
            if (mayRepeat()) {
                place();
            } else {
                noPlace("target_full", forwarder.shedRetryMs());
            }
        }
    }

    @Override
    public void answered(Attempt a, AnswerHead answer, HttpClientResponse response, Buffer whole) {
        if (over) {
            return;
        }
        ran = true;
        boolean worthAnotherTry = answer.status() >= 500 && route.kind() == CallKind.IDEMPOTENT;
        if (worthAnotherTry && kept == null) {
            tried.add(a.target().info().id());
            if (mayRepeat()) {
                kept = new KeptAnswer(answer, response, whole);
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
        if (route.kind() != CallKind.STREAM || over) {
            return false;
        }
        events = new EventSplitter();
        lastEventAtMs = 0;
        if (!caller.headSent()) {
            caller.beginStream(answer.status(), response);
        }
        return true;
    }

    @Override
    public void streamBytes(Attempt a, Buffer bytes) {
        int before = events.events();
        Optional<Buffer> whole = events.feed(bytes);
        if (whole.isEmpty()) {
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        if (record.firstByteMs < 0) {
            record.firstByteMs = nowMs - arrivedAtMs;
        }
        if (lastEventAtMs > 0) {
            a.target().learnGap((double) (nowMs - lastEventAtMs) / (events.events() - before));
        }
        lastEventAtMs = nowMs;
        record.events += events.events() - before;
        events.lastId().ifPresent(id -> resumeAfter = Optional.of(id));
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
        ran = true;
        if (events.rest().length() > 0) {
            broke(a, "stream ended inside an event");
            return;
        }
        forwarder.lengths().ended(route, head, record.events);
        caller.endStream();
        end("answered", "events " + record.events);
    }

    @Override
    public void broke(Attempt a, String why) {
        ran = true;
        record.note(a.target().info().id(), why);
        forwarder.metrics().event("sends.broken");
        if (over) {
            return;
        }
        tried.add(a.target().info().id());
        if (route.repeatable() && mayRepeat()) {
            place();
        } else {
            noPlace("target_broke", 0);
        }
    }

    private boolean mayRepeat() {
        long nowMs = MonotonicClock.nowMs();
        return sends < route.maxAttempts()
                && endsAtMs - nowMs >= LEAST_TIME_FOR_RETRY_MS
                && forwarder.retries().tryRepeat(service, forwarder.routers(), nowMs);
    }

    private void timeIsUp() {
        if (over) {
            return;
        }
        stopWork();
        if (caller.headSent()) {
            cutOff("timeout");
        } else if (ran || sends > 0) {
            fail(504, "timeout", "no whole answer within the time there was");
        } else {
            refuse("timeout", 0);
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
            forwarder.waiting().remove(waiting);
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
        double spread = 1 + ThreadLocalRandom.current().nextDouble() * Forwarder.RETRY_SPREAD;
        caller.refuse(status, why, retryAfterMs * spread / MS_PER_SECOND);
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
        if (sends == 0 && unitsTaken > 0) {
            workspace.ifPresent(w -> forwarder.quotas().giveBack(w, unitsTaken, MonotonicClock.nowMs()));
        }
        forwarder.ended(this, request.connection());
        record.finish(forwarder, route, workspace, config, MonotonicClock.nowMs() - arrivedAtMs, outcome, why);
    }
}
