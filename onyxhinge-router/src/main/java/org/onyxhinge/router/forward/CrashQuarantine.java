package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.quarantine.BrokenCalls;
import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.quarantine.Quarantine;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Quarantines requests that crash the targets executing them. Every crash is broadcast to the other routers at once;
 * quarantines are also recorded in the store, for routers that start later or are partitioned from the others.
 */
final class CrashQuarantine {

    private static final Logger LOG = Logger.getLogger(CrashQuarantine.class);

    /**
     * Enough probes to see a terminated process refuse a connection, or to receive data from one that is still running.
     */
    private static final int MAX_PROBES = 3;

    private static final long PROBE_INTERVAL_MS = 150;

    private final Quarantine quarantine = Quarantine.create();
    private final BrokenCalls brokenCalls = BrokenCalls.create();
    private final Vertx vertx;
    private final TargetConnections connections;
    private final ForwardingMetrics metrics;
    private final Consumer<PeerMessage.RouterToRouter> broadcast;
    private final Consumer<Fingerprint> quarantined;

    /**
     * Creates an instance that knows of no crash.
     *
     * @param broadcast sends a message to every other router
     * @param quarantined called when a request is quarantined, so that its calls in progress are ended
     */
    CrashQuarantine(
            Vertx vertx,
            TargetConnections connections,
            ForwardingMetrics metrics,
            Consumer<PeerMessage.RouterToRouter> broadcast,
            Consumer<Fingerprint> quarantined) {
        this.vertx = vertx;
        this.connections = connections;
        this.metrics = metrics;
        this.broadcast = broadcast;
        this.quarantined = quarantined;
    }

    /**
     * Handles a connection that broke while a target executed a request, and finds out whether the target has
     * terminated.
     */
    void connectionBroke(Fingerprint request, TargetState target) {
        // A draining target may terminate with calls in progress; that does not count against them.
        if (target.isReady() && brokenCalls.broke(request, target.incarnation(), MonotonicClock.nowMs())) {
            probe(target, MAX_PROBES);
        }
    }

    /**
     * Probes a target's address. A successful connection proves little: a terminating process accepts connections until
     * its last socket is closed, and another process may listen at the address soon after.
     */
    private void probe(TargetState target, int remainingProbes) {
        if (remainingProbes > 0 && brokenCalls.mayHaveEnded(target.incarnation(), target.heardAtMs())) {
            connections
                    .probe(target.info())
                    .onSuccess(v -> vertx.setTimer(PROBE_INTERVAL_MS, t -> probe(target, remainingProbes - 1)))
                    .onFailure(e -> connectFailed(target, e));
        }
    }

    /** Handles a failure to connect to a target. */
    void connectFailed(TargetState target, Throwable e) {
        if (ConnectErrors.refused(e)) {
            targetEnded(target);
        }
    }

    /** Handles the end of a target's incarnation. */
    void targetEnded(TargetState target) {
        List<Crash> crashes = brokenCalls.ended(target.incarnation(), target.heardAtMs(), MonotonicClock.nowMs());
        if (!crashes.isEmpty()) {
            LOG.infof("target ended incarnation=%s requests=%s", target.incarnation(), requests(crashes));
            recordCrashes(crashes);
            broadcast.accept(message(crashes));
        }
    }

    private static String requests(List<Crash> crashes) {
        return crashes.stream().map(c -> c.request().toString()).collect(Collectors.joining(","));
    }

    private void recordCrashes(List<Crash> crashes) {
        long nowMs = MonotonicClock.nowMs();
        for (Crash crash : crashes) {
            switch (quarantine.recordCrash(crash, nowMs)) {
                case QUARANTINED -> onQuarantined(crash.request(), nowMs);
                case CLEARED -> broadcastAnswered(crash.request(), nowMs);
                default -> metrics.event("crashes.heard");
            }
        }
    }

    private void broadcastAnswered(Fingerprint request, long nowMs) {
        quarantine
                .answeredAgoMs(request, nowMs)
                .ifPresent(agoMs -> broadcast.accept(new PeerMessage.SuspectCompleted(request, agoMs)));
    }

    private void onQuarantined(Fingerprint request, long nowMs) {
        metrics.event("requests.quarantined");
        LOG.warnf(
                "request quarantined fingerprint=%s crashes=\"%s\" forMs=%d",
                request, crashesOf(request, nowMs), quarantine.endsInMs(request, nowMs));
        quarantined.accept(request);
    }

    private String crashesOf(Fingerprint request, long nowMs) {
        return quarantine.crashesOfQuarantined(nowMs).stream()
                .filter(c -> c.request().equals(request))
                .map(c -> c.incarnation() + " " + (nowMs - c.atMs()) + " ms ago")
                .collect(Collectors.joining("; "));
    }

    /** Records that a target returned a complete response to a request. */
    void answered(Fingerprint request) {
        long nowMs = MonotonicClock.nowMs();
        if (quarantine.answered(request, nowMs)) {
            LOG.infof("request cleared fingerprint=%s", request);
            broadcastAnswered(request, nowMs);
        }
    }

    /** True while a request must not be sent to any target. */
    boolean isQuarantined(Fingerprint request) {
        return quarantine.holds(request, MonotonicClock.nowMs());
    }

    /** Whether the router itself may send a request once more. */
    boolean mayBeRepeated(Fingerprint request) {
        return quarantine.mayBeRepeated(request, MonotonicClock.nowMs());
    }

    /** Time until a quarantined request may be executed again. */
    long endsInMs(Fingerprint request) {
        return quarantine.endsInMs(request, MonotonicClock.nowMs());
    }

    /** All crashes that still count, for a router that may know of none. */
    PeerMessage.Crashes activeCrashes() {
        return message(quarantine.crashes(MonotonicClock.nowMs()));
    }

    private static PeerMessage.Crashes message(List<Crash> crashes) {
        long nowMs = MonotonicClock.nowMs();
        List<PeerMessage.CrashReport> out = new ArrayList<>();
        for (Crash c : crashes) {
            out.add(new PeerMessage.CrashReport(c.request(), c.incarnation(), nowMs - c.atMs()));
        }
        return new PeerMessage.Crashes(out);
    }

    /** Applies crashes reported by another router. */
    void receive(PeerMessage.Crashes message) {
        long nowMs = MonotonicClock.nowMs();
        recordCrashes(message.crashes().stream()
                .map(c -> new Crash(c.request(), c.incarnation(), nowMs - c.agoMs()))
                .toList());
    }

    /** Applies another router's report that a target returned a complete response to a request. */
    void receive(PeerMessage.SuspectCompleted message) {
        if (quarantine.answered(message.request(), MonotonicClock.nowMs() - message.agoMs())) {
            LOG.infof("request cleared by another router fingerprint=%s", message.request());
        }
    }

    /** The record to be stored: the crashes of the quarantined requests. */
    QuarantineRecord currentRecord() {
        return QuarantineRecord.of(quarantine.crashesOfQuarantined(MonotonicClock.nowMs()), MonotonicClock.nowMs());
    }

    /** Applies the crashes of a stored record. */
    void restore(QuarantineRecord record) {
        recordCrashes(record.crashes(MonotonicClock.nowMs()));
    }

    /** Lifts every quarantine, after its record was removed. */
    void lift() {
        LOG.infof("quarantine lifted requests=%d", byRequest().size());
        quarantine.lift();
    }

    /** Quarantined requests and the targets they crashed, for the state dump. */
    Map<String, Object> byRequest() {
        return quarantine.crashesOfQuarantined(MonotonicClock.nowMs()).stream()
                .collect(Collectors.groupingBy(
                        c -> c.request().toString(),
                        Collectors.collectingAndThen(
                                Collectors.mapping(Crash::incarnation, Collectors.toList()), l -> (Object) l)));
    }
}
