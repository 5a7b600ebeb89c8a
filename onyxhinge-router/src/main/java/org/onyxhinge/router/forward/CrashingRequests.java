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
import org.onyxhinge.core.quarantine.Quarantine;
import org.onyxhinge.core.quarantine.RequestFingerprint;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Keeps requests that crash the targets that run them from further targets. What one router sees all are told at once;
 * what is quarantined is recorded as well, for routers that start later or are cut off from the others.
 */
final class CrashingRequests {

    private static final Logger LOG = Logger.getLogger(CrashingRequests.class);

    /** Within these tries a process that has ended is known by the refusal of one, or was heard if it has not. */
    private static final int PROBES = 3;

    private static final long PROBE_AGAIN_MS = 150;

    private final Quarantine quarantine = Quarantine.create();
    private final BrokenCalls broken = BrokenCalls.create();
    private final Vertx vertx;
    private final TargetConnections connections;
    private final ForwardingMetrics metrics;
    private final Consumer<PeerMessage.BetweenRouters> tellAll;
    private final Consumer<RequestFingerprint> quarantined;

    /**
     * Creates one that knows of no crash.
     *
     * @param tellAll tells every other router
     * @param quarantined called when a request is quarantined, so that no call of it goes on
     */
    CrashingRequests(
            Vertx vertx,
            TargetConnections connections,
            ForwardingMetrics metrics,
            Consumer<PeerMessage.BetweenRouters> tellAll,
            Consumer<RequestFingerprint> quarantined) {
        this.vertx = vertx;
        this.connections = connections;
        this.metrics = metrics;
        this.tellAll = tellAll;
        this.quarantined = quarantined;
    }

    /** Notes that a connection broke while a target ran a request, and finds out whether the target has ended. */
    void broke(RequestFingerprint request, TargetState target) {
        // One that leaves on purpose may end with calls in progress; that says nothing against them.
        if (target.takesCalls() && broken.broke(request, target.incarnation(), MonotonicClock.nowMs())) {
            probe(target, PROBES);
        }
    }

    /**
     * Tries a target's address. A connection that is made proves little: a process that ends may be connected to until
     * the last of its sockets is closed, and another may soon listen there.
     */
    private void probe(TargetState target, int probesLeft) {
        if (probesLeft > 0 && broken.mayHaveEnded(target.incarnation(), target.heardAtMs())) {
            connections
                    .probe(target.info())
                    .onSuccess(v -> vertx.setTimer(PROBE_AGAIN_MS, t -> probe(target, probesLeft - 1)))
                    .onFailure(e -> notReached(target, e));
        }
    }

    /** Notes that no connection to a target could be made. */
    void notReached(TargetState target, Throwable e) {
        if (ConnectErrors.refused(e)) {
            ended(target);
        }
    }

    /** Notes that a start of a target is over. */
    void ended(TargetState target) {
        List<Crash> crashes = broken.ended(target.incarnation(), target.heardAtMs(), MonotonicClock.nowMs());
        if (!crashes.isEmpty()) {
            LOG.infof("target ended incarnation=%s requests=%s", target.incarnation(), requests(crashes));
            takeIn(crashes);
            tellAll.accept(message(crashes));
        }
    }

    private static String requests(List<Crash> crashes) {
        return crashes.stream().map(c -> c.request().toString()).collect(Collectors.joining(","));
    }

    private void takeIn(List<Crash> crashes) {
        long nowMs = MonotonicClock.nowMs();
        for (Crash crash : crashes) {
            switch (quarantine.recordCrash(crash, nowMs)) {
                case QUARANTINED -> quarantinedNow(crash.request(), nowMs);
                case CLEARED -> tellAnswered(crash.request(), nowMs);
                default -> metrics.event("crashes.heard");
            }
        }
    }

    private void tellAnswered(RequestFingerprint request, long nowMs) {
        quarantine
                .answeredAgoMs(request, nowMs)
                .ifPresent(agoMs -> tellAll.accept(new PeerMessage.AnsweredWhole(request, agoMs)));
    }

    private void quarantinedNow(RequestFingerprint request, long nowMs) {
        metrics.event("requests.quarantined");
        LOG.warnf(
                "request quarantined fingerprint=%s crashes=\"%s\" forMs=%d",
                request, crashesOf(request, nowMs), quarantine.endsInMs(request, nowMs));
        quarantined.accept(request);
    }

    private String crashesOf(RequestFingerprint request, long nowMs) {
        return quarantine.crashesOfQuarantined(nowMs).stream()
                .filter(c -> c.request().equals(request))
                .map(c -> c.incarnation() + " " + (nowMs - c.atMs()) + " ms ago")
                .collect(Collectors.joining("; "));
    }

    /** Notes that a target answered a request whole. */
    void answered(RequestFingerprint request) {
        long nowMs = MonotonicClock.nowMs();
        if (quarantine.answered(request, nowMs)) {
            LOG.infof("request cleared fingerprint=%s", request);
            tellAnswered(request, nowMs);
        }
    }

    /** True while a request may be sent to no target. */
    boolean holds(RequestFingerprint request) {
        return quarantine.holds(request, MonotonicClock.nowMs());
    }

    /** Whether a request may be sent once more by the router itself. */
    boolean mayBeRepeated(RequestFingerprint request) {
        return quarantine.mayBeRepeated(request, MonotonicClock.nowMs());
    }

    /** Time until a quarantined request may run again. */
    long endsInMs(RequestFingerprint request) {
        return quarantine.endsInMs(request, MonotonicClock.nowMs());
    }

    /** Every crash that counts, for a router that may know of none. */
    PeerMessage.Crashes news() {
        return message(quarantine.crashes(MonotonicClock.nowMs()));
    }

    private static PeerMessage.Crashes message(List<Crash> crashes) {
        long nowMs = MonotonicClock.nowMs();
        List<PeerMessage.CrashedAgo> out = new ArrayList<>();
        for (Crash c : crashes) {
            out.add(new PeerMessage.CrashedAgo(c.request(), c.incarnation(), nowMs - c.atMs()));
        }
        return new PeerMessage.Crashes(out);
    }

    /** Takes in what another router tells. */
    void heard(PeerMessage.Crashes message) {
        long nowMs = MonotonicClock.nowMs();
        takeIn(message.crashes().stream()
                .map(c -> new Crash(c.request(), c.incarnation(), nowMs - c.agoMs()))
                .toList());
    }

    /** Takes in that a target answered a request whole. */
    void heard(PeerMessage.AnsweredWhole message) {
        if (quarantine.answered(message.request(), MonotonicClock.nowMs() - message.agoMs())) {
            LOG.infof("request cleared by another router fingerprint=%s", message.request());
        }
    }

    /** What is to be recorded: the crashes of the quarantined requests. */
    QuarantineRecord toRecord() {
        return QuarantineRecord.of(quarantine.crashesOfQuarantined(MonotonicClock.nowMs()), MonotonicClock.nowMs());
    }

    /** Takes in what is on record. */
    void recorded(QuarantineRecord record) {
        takeIn(record.crashes(MonotonicClock.nowMs()));
    }

    /** Lifts every quarantine: its record was removed. */
    void lift() {
        LOG.infof("quarantine lifted requests=%d", byRequest().size());
        quarantine.lift();
    }

    /** Quarantined requests and the targets they crashed, for the dump. */
    Map<String, Object> byRequest() {
        return quarantine.crashesOfQuarantined(MonotonicClock.nowMs()).stream()
                .collect(Collectors.groupingBy(
                        c -> c.request().toString(),
                        Collectors.collectingAndThen(
                                Collectors.mapping(Crash::incarnation, Collectors.toList()), l -> (Object) l)));
    }
}
