package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.onyxhinge.core.admit.Refusal;
import org.onyxhinge.core.admit.RefusedRequests;
import org.onyxhinge.core.admit.RetryLedger;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Recognizes the retries of refused callers. Callers retry at a router of their own data centre, so the routers of a
 * data centre tell each other what they have refused. While they cannot, a retry looks like a first attempt.
 */
final class RetryRecognition {

    /** Callers take longer than this to retry, unless they are told that another router will serve them at once. */
    private static final long SEND_INTERVAL_MS = 40;

    private final Vertx vertx;
    private final boolean enabled;
    private final Consumer<PeerMessage.RefusedRequests> sendToDataCentre;
    private final ForwardingMetrics metrics;
    private final Optional<RetryLedger> ledger;
    private final RefusedRequests refused = RefusedRequests.create();
    private final List<Refusal> unsent = new ArrayList<>();

    /**
     * Creates an instance without refusals.
     *
     * @param enabled if false, nothing is recorded, sent or recognized
     * @param sendToDataCentre sends a message to the other routers of the data centre
     * @param ledger counts when refused callers were told to retry; empty if retries are not scheduled
     */
    RetryRecognition(
            Vertx vertx,
            boolean enabled,
            Consumer<PeerMessage.RefusedRequests> sendToDataCentre,
            ForwardingMetrics metrics,
            Optional<RetryLedger> ledger) {
        this.vertx = vertx;
        this.enabled = enabled;
        this.sendToDataCentre = sendToDataCentre;
        this.metrics = metrics;
        this.ledger = ledger;
    }

    /** Returns the plan with the deadlines that follow from the caller's first attempt. */
    CallPlan recognize(CallPlan plan, Fingerprint fingerprint) {
        if (!enabled) {
            return plan;
        }
        Optional<Refusal> retryOf =
                refused.takeRetryOf(key(fingerprint), plan.callerDeadlineMs(), MonotonicClock.nowMs());
        if (retryOf.isPresent()) {
            metrics.event("retries.recognized");
        }
        return plan.firstArrivedAt(retryOf.map(Refusal::firstArrivalMs).orElse(plan.arrivedAtMs()));
    }

    /** Records that a request is refused and that its caller is told to retry. */
    void refused(CallPlan plan, Fingerprint fingerprint, long retryAfterMs) {
        if (!enabled || fingerprint.equals(Fingerprint.NONE)) {
            return;
        }
        Refusal refusal = new Refusal(
                key(fingerprint),
                plan.firstArrivalMs(),
                plan.callerDeadlineMs(),
                MonotonicClock.nowMs() + retryAfterMs);
        refused.add(refusal);
        ledger.ifPresent(l -> l.refusalSent(MonotonicClock.nowMs()));
        if (unsent.isEmpty()) {
            vertx.setTimer(SEND_INTERVAL_MS, t -> sendUnsent());
        }
        unsent.add(refusal);
    }

    private void sendUnsent() {
        long nowMs = MonotonicClock.nowMs();
        List<Refusal> sending = List.copyOf(unsent);
        unsent.clear();
        List<PeerMessage.RefusedRequest> requests = sending.stream()
                .map(r -> new PeerMessage.RefusedRequest(
                        r.key(), nowMs - r.firstArrivalMs(), r.deadlineMs() - nowMs, r.retryAtMs() - nowMs))
                .toList();
        sendToDataCentre.accept(new PeerMessage.RefusedRequests(requests));
    }

    /** Records the refusals of another router. */
    void receive(PeerMessage.RefusedRequests message) {
        if (!enabled) {
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        message.requests().forEach(r -> {
            refused.add(new Refusal(
                    r.key(), nowMs - r.firstArrivalAgoMs(), nowMs + r.deadlineInMs(), nowMs + r.retryInMs()));
            ledger.ifPresent(l -> l.toldByPeer(nowMs + r.retryInMs(), nowMs));
        });
    }

    /** Number of refusals on record, for the state dump. */
    int size() {
        return refused.size();
    }

    private static int key(Fingerprint fingerprint) {
        return (int) fingerprint.low();
    }
}
