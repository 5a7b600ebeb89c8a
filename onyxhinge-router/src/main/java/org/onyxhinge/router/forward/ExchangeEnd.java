package org.onyxhinge.router.forward;

import java.util.Locale;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.wire.MonotonicClock;

/**
 * The ways in which an exchange can end. Each writes the caller's only final response, the log line and the metrics. A
 * call that has run or may still run is never refused; see {@code docs/design/refusals.md}.
 */
final class ExchangeEnd {

    /** Statuses by which a caller learns that its call has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final int BAD_GATEWAY = 502;

    private final Forwarder forwarder;
    private final Exchange exchange;
    private final HttpServerRequest request;
    private final CallerResponse caller;
    private final AttemptHistory history;
    private final CallLogEntry logEntry;
    private final long arrivedAtMs;
    private boolean quotaCharged;
    /** Whether the retry delay of the refusal is chosen for this caller alone. */
    private boolean retryScheduled;

    private long timerId = -1;
    private boolean finished;

    ExchangeEnd(
            Forwarder forwarder,
            Exchange exchange,
            HttpServerRequest request,
            CallerResponse caller,
            AttemptHistory history,
            CallLogEntry logEntry,
            long arrivedAtMs) {
        this.forwarder = forwarder;
        this.exchange = exchange;
        this.request = request;
        this.caller = caller;
        this.history = history;
        this.logEntry = logEntry;
        this.arrivedAtMs = arrivedAtMs;
    }

    /** True once the exchange has ended. */
    boolean finished() {
        return finished;
    }

    /** Records that the call was charged to its workspace's quota; a call that is not sent is given back. */
    void quotaCharged() {
        quotaCharged = true;
    }

    /** Runs an action after a time unless the exchange has ended by then, also by what lies unread. */
    void timer(long delayMs, Runnable action) {
        timerId = forwarder
                .vertx()
                .setTimer(Math.max(1, delayMs), t -> forwarder.reads().afterRead(action));
    }

    /** Sets whether the retry delay of the refusal is chosen for this caller alone. */
    void retryScheduled(boolean scheduled) {
        retryScheduled = scheduled;
    }

    /** Refuses a call that was not executed. */
    void refuse(String why, long retryAfterMs) {
        sendRefusal(503, why, retryAfterMs);
    }

    /** Refuses a call that exceeds its workspace's quota. */
    void refuseOverQuota(WorkspaceQuotas.Exceeded exceeded) {
        logEntry.quotaExceeded(exceeded);
        sendRefusal(429, "quota", exceeded.waitMs());
    }

    private void sendRefusal(int status, String why, long retryAfterMs) {
        forwarder.metrics().event("refused." + why);
        forwarder.metrics().event(LoadReport.REFUSED);
        forwarder.deadlines().refused(MonotonicClock.nowMs());
        if (exchange.plan() != null) {
            forwarder.retryRecognition().refused(exchange.plan(), exchange.fingerprint(), retryAfterMs);
            recordForRepeats(retryAfterMs);
        }
        logEntry.scheduledRetryMs = retryScheduled ? retryAfterMs : -1;
        caller.refuse(status, why, retryAfterMs, retryScheduled);
        end("refused", why);
    }

    private void recordForRepeats(long retryAfterMs) {
        if (!exchange.fingerprint().equals(Fingerprint.NONE)) {
            long key = exchange.fingerprint().low();
            long deadlineMs = exchange.plan().callerDeadlineMs();
            forwarder.repeats().ifPresent(r -> r.refused(key, retryAfterMs, deadlineMs, MonotonicClock.nowMs()));
        }
    }

    /** Ends a call with an error that does not promise that it was not executed. */
    void fail(int status, String outcome, String message) {
        if (!finished) {
            caller.fail(status, message);
            end("failed", outcome);
        }
    }

    /** Truncates a response that cannot be completed, so that it does not look complete. */
    void cutOff(String why) {
        caller.abortResponse();
        end("cut_off", why);
    }

    /** Ends a call that is out of time. The response states whether the call may have been executed. */
    void abort(int status, String why, String message, long retryAfterMs) {
        if (caller.headSent()) {
            cutOff(why);
        } else if (history.sendCount() > 0) {
            fail(status, why, message);
        } else {
            refuse(why, retryAfterMs);
        }
    }

    /** Ends a call for which no target is available. The response states whether the call may have been executed. */
    void withoutTarget(String why, long retryAfterMs) {
        if (caller.headSent()) {
            cutOff(why);
        } else if (history.fallback() != null) {
            FallbackResponse fallback = history.fallback();
            forward(fallback.head(), fallback.response(), fallback.body());
        } else if (history.mayHaveExecuted()) {
            fail(BAD_GATEWAY, why, "the target broke off and no other takes the call");
        } else {
            refuse(why, retryAfterMs);
        }
    }

    /**
     * Forwards a target's complete response. A target that answers a non-repeatable call with one of the statuses for
     * calls that were not run, but does not state that, may have run it.
     */
    void forward(ResponseHead head, HttpClientResponse response, Buffer body) {
        if (caller.headSent()) {
            // A target that was to continue a stream has failed.
            cutOff("status " + head.status());
            return;
        }
        logEntry.firstByteMs = MonotonicClock.nowMs() - arrivedAtMs;
        if (!exchange.repeatable() && NOT_RUN_STATUSES.contains(head.status())) {
            String answered = "status " + head.status();
            logEntry.addTrouble(logEntry.target, answered + " without a statement that the call was not run");
            caller.fail(BAD_GATEWAY, "the target answered with " + answered + " and may have run the call");
            end("target_error", answered);
            return;
        }
        exchange.memory().keepDuring(caller.sendResponse(head.status(), response, body));
        end(head.success() ? "answered" : "target_error", "status " + head.status());
    }

    /** Ends a stream that the target has completed. */
    void streamEnded(int events) {
        caller.endStream();
        end("answered", "events " + events);
    }

    /** Ends an exchange whose caller has disconnected. */
    void callerLeft(CallStep step) {
        String name = step.name().toLowerCase(Locale.ROOT);
        forwarder.metrics().event("callers.left." + name);
        end("caller_left", name);
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
            forwarder.quotas().giveBack(exchange.plan(), MonotonicClock.nowMs());
        }
        exchange.memory().release();
        forwarder.exchangeEnded(exchange, request.connection());
        logEntry.longestGapMs = exchange.longestGapMs();
        logEntry.write(forwarder, exchange.plan(), MonotonicClock.nowMs() - arrivedAtMs, outcome, why);
    }
}
