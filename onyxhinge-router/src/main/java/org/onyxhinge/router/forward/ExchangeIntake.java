package org.onyxhinge.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.wire.MonotonicClock;

/**
 * The way of a request from its head until it is placed: it is checked against the configuration, read, and charged to
 * its workspace's quota. A stream that its caller resumes is bound to the version that began it.
 */
final class ExchangeIntake {

    private final Forwarder forwarder;
    private final Exchange exchange;
    private final HttpServerRequest request;
    private final ExchangeEnd end;
    private final CallLogEntry logEntry;
    private final long arrivedAtMs;
    private final long unreadMs;
    private boolean confirmationAwaited;

    ExchangeIntake(
            Forwarder forwarder,
            Exchange exchange,
            HttpServerRequest request,
            ExchangeEnd end,
            CallLogEntry logEntry,
            long arrivedAtMs,
            long unreadMs) {
        this.forwarder = forwarder;
        this.exchange = exchange;
        this.request = request;
        this.end = end;
        this.logEntry = logEntry;
        this.arrivedAtMs = arrivedAtMs;
        this.unreadMs = unreadMs;
    }

    /** Checks the request's head; holds the request if what decides it is not known yet. */
    void check() {
        if (forwarder.shutdown().refusesCalls()) {
            end.refuse("leaving", CallerResponse.OTHER_ROUTER_RETRY_MS);
            return;
        }
        Optional<ConfirmedConfig> config = forwarder.activeConfig();
        if (config.isEmpty()) {
            forwarder.awaitingConfig().holdUntilConfigured(exchange);
            return;
        }
        logEntry.configVersion = config.get().config().version();
        logEntry.confirmationAgeMs = forwarder.freshness().ageMs(config.get().confirmedAtMs());
        CallCheck result = CallCheck.of(request, forwarder.protocol(), config.get(), forwarder.freshness());
        logEntry.requestId = result.head() == null ? "" : result.head().requestId();
        boolean current = forwarder.freshness().isCurrent(config.get().confirmedAtMs());
        if (current || !heldForConfirmation(result)) {
            decide(result, current);
        }
    }

    /** Holds the request once if a newer configuration may decide otherwise. */
    private boolean heldForConfirmation(CallCheck result) {
        if (confirmationAwaited || result instanceof CallCheck.Rejected r && !r.dependsOnConfig()) {
            return false;
        }
        confirmationAwaited = true;
        boolean held = forwarder.awaitingConfig().holdUntilConfirmed(exchange);
        forwarder.metrics().event(held ? "config.calls_held" : "config.calls_unconfirmed");
        return held;
    }

    /**
     * Carries out the result of the check.
     *
     * @param current whether it is that of the newest configuration that has to be in force; if not, a known route is
     *     served as before, and nothing is refused for good
     */
    private void decide(CallCheck result, boolean current) {
        switch (result) {
            case CallCheck.Allowed a -> onAllowed(a);
            case CallCheck.Rejected r
            when current || !r.dependsOnConfig() -> end.fail(r.status(), r.outcome(), r.message());
            case CallCheck.Rejected r -> {
                logEntry.addTrouble("config", r.outcome());
                end.refuse("config_unconfirmed", CallerResponse.OTHER_ROUTER_RETRY_MS);
            }
            case CallCheck.Undetermined u -> end.refuse(u.why(), CallerResponse.OTHER_ROUTER_RETRY_MS);
        }
    }

    private void onAllowed(CallCheck.Allowed check) {
        long waitedBeforeMs = forwarder
                .deadlines()
                .waitedBeforeMs(check.route().name(), check.head().deadlineMs(), MonotonicClock.nowMs());
        CallPlan plan = CallPlan.of(check, arrivedAtMs, unreadMs, waitedBeforeMs);
        exchange.planned(plan);
        exchange.startDeadline();
        if (forwarder.loopDelay().isLate(MonotonicClock.nowMs())) {
            forwarder.reads().afterRead(() -> offerUnlessLeft(plan));
        } else {
            forwarder.startScheduler().offer(exchange, plan);
        }
    }

    /** Offers a request of a caller that may have left, since others would be refused in its favour. */
    private void offerUnlessLeft(CallPlan plan) {
        if (!end.finished()) {
            forwarder.startScheduler().offer(exchange, plan);
        }
    }

    /** Reads the request's body; the request is placed once it is complete. */
    void readBody() {
        int maxBytes = exchange.plan().config().limits().maxBodyBytes();
        exchange.memory().rank(exchange.plan().route().priority());
        RequestBodyReader.read(request, maxBytes, exchange.memory(), result -> {
            switch (result) {
                case RequestBodyReader.Result.Whole w -> received(w.body());
                case RequestBodyReader.Result.TooLarge t ->
                    end.fail(413, "body_too_large", "body above " + maxBytes + " bytes");
                case RequestBodyReader.Result.NoMemory n -> refuseUnread("memory");
                case RequestBodyReader.Result.PartLost l -> refuseUnread("part_lost");
            }
        });
    }

    private void refuseUnread(String why) {
        if (!end.finished()) {
            end.refuse(why, CallerResponse.OTHER_ROUTER_RETRY_MS);
        }
    }

    private void received(Buffer body) {
        forwarder.bodyRead(body.length());
        if (end.finished()) {
            return;
        }
        Fingerprint fingerprint = exchange.plan().fingerprint(request, body);
        exchange.planned(forwarder.retryRecognition().recognize(exchange.plan(), fingerprint));
        exchange.received(body, fingerprint, isRepeat(fingerprint));
        admit();
    }

    private boolean isRepeat(Fingerprint fingerprint) {
        long deadlineMs = exchange.plan().callerDeadlineMs();
        int early = forwarder
                .repeats()
                .map(r -> r.arrived(fingerprint.low(), deadlineMs, MonotonicClock.nowMs()))
                .orElse(0);
        if (early > 0) {
            logEntry.addTrouble("repeat", "early=" + early);
            forwarder.metrics().event("repeats.early");
        }
        return early > 0;
    }

    private void admit() {
        if (forwarder.crashQuarantine().isQuarantined(exchange.suspects())) {
            exchange.refuseQuarantined();
            return;
        }
        CallPlan plan = exchange.plan();
        Optional<String> lastEventId = plan.head().lastEventId();
        if (lastEventId.isPresent() && plan.route().kind() == CallKind.STREAM) {
            forwarder.streamOrigins().find(plan, request, result -> onOrigin(lastEventId.get(), result));
        } else {
            lastEventId.ifPresent(id -> exchange.continues(id, Optional.empty()));
            chargeAndSubmit();
        }
    }

    private void onOrigin(String lastEventId, StreamOrigins.Result result) {
        if (end.finished()) {
            return;
        }
        switch (result) {
            case StreamOrigins.Result.Known k -> {
                logEntry.origin = k.origin().version() + " " + k.source();
                exchange.planned(exchange.plan().withService(k.origin().service()));
                exchange.continues(lastEventId, Optional.of(k.origin().version()));
                chargeAndSubmit();
            }
            case StreamOrigins.Result.Unknown u ->
                end.refuse("origin_unknown", u.everywhere() ? 0 : CallerResponse.OTHER_ROUTER_RETRY_MS);
        }
    }

    private void chargeAndSubmit() {
        CallPlan plan = exchange.plan();
        long nowMs = MonotonicClock.nowMs();
        Optional<WorkspaceQuotas.Exceeded> exceeded = forwarder.quotas().take(plan, nowMs);
        if (exceeded.isPresent()) {
            end.refuseOverQuota(exceeded.get());
            return;
        }
        end.quotaCharged();
        forwarder.retries().countRequest(plan.service(), nowMs);
        exchange.submit();
    }
}
