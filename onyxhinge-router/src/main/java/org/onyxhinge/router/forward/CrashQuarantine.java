package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.quarantine.BrokenCalls;
import org.onyxhinge.core.quarantine.Crash;
import org.onyxhinge.core.quarantine.Fingerprint;
import org.onyxhinge.core.quarantine.Quarantine;
import org.onyxhinge.core.quarantine.Suspects;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * Quarantines requests, and parts of prompts, that crash the targets executing them. Every crash is broadcast to the
 * other routers at once; quarantines are also recorded in the store, for routers that start later or are partitioned
 * from the others.
 */
final class CrashQuarantine {

    private static final Logger LOG = Logger.getLogger(CrashQuarantine.class);

    /**
     * Enough probes to see a terminated process refuse a connection, or to receive data from one that is still running.
     */
    private static final int MAX_PROBES = 3;

    private static final long PROBE_INTERVAL_MS = 150;

    /** Time that a terminating process takes at most to close its listening socket after its connections. */
    private static final long EXIT_TIME_MS = 50;

    /** Routers report their calls at a target that has ended one by one; what they reported last may be to blame. */
    private static final long REPORTS_COMPLETE_MS = 50;

    /** Retry delay while a trial decides whether something is to blame: about as long as a short answer takes. */
    private static final long TRIAL_RETRY_MS = 500;

    /** Maximum number of suspects whose names or reported answers are kept. */
    private static final int MAX_SUSPECTS = 4_096;

    /** Until the router that tries what was quarantined before the start has an answer. */
    private static final long INHERITED_RETRY_MS = 1_000;

    private final Quarantine quarantine;
    private final BrokenCalls brokenCalls = BrokenCalls.create();
    /** Ids of the parts that calls of this router named, by fingerprint. */
    private final Map<Fingerprint, String> partIds = BoundedMap.dropOldest(MAX_SUSPECTS);
    /** The answers that all routers have been told of: when the newest answered call was sent. */
    private final Map<Fingerprint, Long> reportedAnswers = BoundedMap.dropOldest(MAX_SUSPECTS);

    private final Vertx vertx;
    private final Function<Target, Future<Void>> connect;
    private final ForwardingMetrics metrics;
    private final Consumer<PeerMessage.RouterToRouter> broadcast;
    private final Consumer<Fingerprint> quarantined;

    /**
     * Creates an instance that knows of no crash.
     *
     * @param connect connects to a target's address and fails if that is not possible
     * @param broadcast sends a message to every other router
     * @param quarantined called when a request or a part is quarantined, so that calls in progress are ended
     * @param triesInherited whether this router is the one to try what was quarantined before the system started
     */
    CrashQuarantine(
            Vertx vertx,
            Function<Target, Future<Void>> connect,
            ForwardingMetrics metrics,
            Consumer<PeerMessage.RouterToRouter> broadcast,
            Consumer<Fingerprint> quarantined,
            BooleanSupplier triesInherited) {
        this.quarantine = Quarantine.create(triesInherited);
        this.vertx = vertx;
        this.connect = connect;
        this.metrics = metrics;
        this.broadcast = broadcast;
        this.quarantined = quarantined;
    }

    /**
     * Handles a connection that broke while a target executed a request, and finds out whether the target has
     * terminated.
     */
    void connectionBroke(Suspects request, TargetState target) {
        nameParts(request);
        long nowMs = MonotonicClock.nowMs();
        if (brokenCalls.hasEnded(target.incarnation(), nowMs)) {
            brokenCalls.broke(request, target.incarnation(), nowMs);
            targetEnded(target);
        } else if (target.isReady() && brokenCalls.broke(request, target.incarnation(), nowMs)) {
            // A draining target may terminate with calls in progress; that does not count against them.
            probe(target, MAX_PROBES);
        }
    }

    /**
     * Finds out whether a target has terminated that closed its connection at the end of a response. A draining target
     * may terminate after its last response, so it is not asked.
     */
    Future<Boolean> terminatedWithResponse(Suspects request, TargetState target) {
        connectionBroke(request, target);
        if (!target.isReady()) {
            return Future.succeededFuture(false);
        }
        return refusesConnections(target, MAX_PROBES);
    }

    /** Whether nothing listens at a target's address any more, once it has had the time to terminate. */
    private Future<Boolean> refusesConnections(TargetState target, int remainingProbes) {
        return vertx.timer(EXIT_TIME_MS)
                .compose(t -> brokenCalls.hasEnded(target.incarnation(), MonotonicClock.nowMs())
                        ? Future.succeededFuture(true)
                        : connect.apply(target.info()).map(false).recover(e -> {
                            connectFailed(target, e);
                            return ConnectErrors.reset(e) && remainingProbes > 1
                                    ? refusesConnections(target, remainingProbes - 1)
                                    : Future.succeededFuture(ConnectErrors.refused(e));
                        }));
    }

    private void nameParts(Suspects request) {
        request.partIds().forEach(id -> partIds.put(Fingerprint.ofPromptPart(id), id));
    }

    /**
     * Probes a target's address. Only a refusal is conclusive: a terminating process accepts connections until its last
     * socket is closed and resets those that it has not accepted by then, and another process may listen at the address
     * soon after.
     */
    private void probe(TargetState target, int remainingProbes) {
        if (remainingProbes > 0 && brokenCalls.mayHaveEnded(target.incarnation(), target.heardAtMs())) {
            connect.apply(target.info())
                    .onFailure(e -> connectFailed(target, e))
                    .onComplete(v -> vertx.setTimer(PROBE_INTERVAL_MS, t -> probe(target, remainingProbes - 1)));
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
            LOG.infof("target ended incarnation=%s suspects=%s", target.incarnation(), suspects(crashes));
            recordCrashes(crashes);
            broadcast.accept(message(crashes));
        }
    }

    private String suspects(List<Crash> crashes) {
        return crashes.stream().map(c -> name(c.suspect())).collect(Collectors.joining(","));
    }

    /** Name of a suspect for operators; a part's id is known if a call of this router broke with it. */
    private String name(Fingerprint suspect) {
        String partId = partIds.get(suspect);
        return partId == null ? suspect.toString() : "part-" + partId;
    }

    private void recordCrashes(List<Crash> crashes) {
        long nowMs = MonotonicClock.nowMs();
        Set<Fingerprint> newlyHeld = new LinkedHashSet<>();
        for (Crash crash : crashes) {
            switch (quarantine.recordCrash(crash, nowMs)) {
                case QUARANTINED -> newlyHeld.add(crash.suspect());
                case CLEARED -> reportAnswer(crash, nowMs);
                default -> metrics.event("crashes.heard");
            }
        }
        newlyHeld.forEach(s -> onQuarantined(s, nowMs));
    }

    /** Tells the other routers of an answer to a suspect, unless they know of one that says as much about a crash. */
    private void reportAnswer(Crash crash, long nowMs) {
        long reportedMs = reportedAnswers.getOrDefault(crash.suspect(), Quarantine.NEVER_MS);
        quarantine.answeredAgoMs(crash.suspect(), nowMs).ifPresent(agoMs -> {
            if (Quarantine.saysMore(nowMs - agoMs, reportedMs, crash)) {
                broadcastAnswered(crash.suspect(), nowMs);
            }
        });
    }

    private void broadcastAnswered(Fingerprint suspect, long nowMs) {
        quarantine.answeredAgoMs(suspect, nowMs).ifPresent(agoMs -> {
            reportedAnswers.merge(suspect, nowMs - agoMs, Math::max);
            broadcast.accept(new PeerMessage.SuspectCompleted(suspect, agoMs));
        });
    }

    private void onQuarantined(Fingerprint suspect, long nowMs) {
        metrics.event("requests.quarantined");
        LOG.warnf(
                "quarantined suspect=%s fingerprint=%s crashes=\"%s\" forMs=%d",
                name(suspect), suspect, crashesOf(suspect, nowMs), quarantine.endsInMs(suspect, nowMs));
        vertx.setTimer(REPORTS_COMPLETE_MS, t -> quarantined.accept(suspect));
    }

    private String crashesOf(Fingerprint suspect, long nowMs) {
        return quarantine.crashesOfQuarantined(nowMs).stream()
                .filter(c -> c.suspect().equals(suspect))
                .map(c -> c.incarnation() + " " + (nowMs - c.atMs()) + " ms ago")
                .collect(Collectors.joining("; "));
    }

    /** Records that an attempt has returned a response to a request; only one that is known to be whole counts. */
    void answered(Suspects request, Attempt attempt) {
        if (!attempt.provenWhole()) {
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        for (Fingerprint suspect : request.all()) {
            if (quarantine.answered(suspect, attempt.sentAtMs())) {
                LOG.infof("suspect cleared suspect=%s", name(suspect));
                broadcastAnswered(suspect, nowMs);
            }
        }
    }

    /** True while a request must not be sent to any target. */
    boolean isQuarantined(Suspects request) {
        long nowMs = MonotonicClock.nowMs();
        return switch (quarantine.decide(request, nowMs)) {
            case SEND -> false;
            case TRY -> quarantine.isOnTrial(request, nowMs);
            case WITHHOLD -> true;
        };
    }

    /**
     * Decides about a request that is about to be sent. {@link Quarantine.Decision#TRY} is returned only if the request
     * has become the trial, which is to be ended by {@link #trialEnded}.
     */
    Quarantine.Decision beginSend(Suspects request) {
        long nowMs = MonotonicClock.nowMs();
        Quarantine.Decision decision = quarantine.decide(request, nowMs);
        if (decision != Quarantine.Decision.TRY) {
            return decision;
        }
        if (!quarantine.beginTrial(request, nowMs)) {
            return Quarantine.Decision.WITHHOLD;
        }
        metrics.event("quarantine.trials");
        LOG.infof("trial begins quarantined=%s", held(request));
        return decision;
    }

    /** Ends the trial that a request was. */
    void trialEnded(Suspects request) {
        quarantine.endTrial(request, MonotonicClock.nowMs());
    }

    /** Whether calls in progress of a request must be ended. */
    boolean isWithheld(Suspects request) {
        return quarantine.decide(request, MonotonicClock.nowMs()) == Quarantine.Decision.WITHHOLD;
    }

    /** Whether the router itself may send a request once more. */
    boolean mayBeRepeated(Suspects request) {
        return quarantine.mayBeRepeated(request, MonotonicClock.nowMs());
    }

    /** Time until a quarantined request may be executed again. */
    long endsInMs(Suspects request) {
        long nowMs = MonotonicClock.nowMs();
        if (quarantine.decide(request, nowMs) == Quarantine.Decision.TRY) {
            return TRIAL_RETRY_MS;
        }
        return quarantine.isInherited(request, nowMs)
                ? INHERITED_RETRY_MS
                : request.all().stream()
                        .mapToLong(s -> quarantine.endsInMs(s, nowMs))
                        .max()
                        .orElse(0);
    }

    /** Names what is quarantined in a request, for operators. */
    String held(Suspects request) {
        long nowMs = MonotonicClock.nowMs();
        nameParts(request);
        return request.all().stream()
                .filter(s -> quarantine.holds(s, nowMs))
                .map(this::name)
                .collect(Collectors.joining(","));
    }

    /** Everything that counts for or against a suspect, for a router that may know none of it. */
    List<PeerMessage.RouterToRouter> state() {
        long nowMs = MonotonicClock.nowMs();
        List<Crash> crashes = quarantine.crashes(nowMs);
        List<PeerMessage.RouterToRouter> out = new ArrayList<>();
        // Answers come first: without them the crashes of popular suspects would quarantine these for a moment.
        crashes.stream()
                .map(Crash::suspect)
                .distinct()
                .forEach(s -> quarantine
                        .answeredAgoMs(s, nowMs)
                        .ifPresent(agoMs -> out.add(new PeerMessage.SuspectCompleted(s, agoMs))));
        if (!crashes.isEmpty()) {
            out.add(message(crashes));
        }
        return out;
    }

    private static PeerMessage.Crashes message(List<Crash> crashes) {
        long nowMs = MonotonicClock.nowMs();
        List<PeerMessage.CrashReport> out = new ArrayList<>();
        for (Crash c : crashes) {
            out.add(new PeerMessage.CrashReport(c.suspect(), c.incarnation(), nowMs - c.atMs()));
        }
        return new PeerMessage.Crashes(out);
    }

    /** Applies crashes reported by another router. */
    void receive(PeerMessage.Crashes message) {
        long nowMs = MonotonicClock.nowMs();
        recordCrashes(message.crashes().stream()
                .map(c -> new Crash(c.suspect(), c.incarnation(), nowMs - c.agoMs()))
                .toList());
    }

    /** Applies another router's report that a target returned a complete response to a suspect. */
    void receive(PeerMessage.SuspectCompleted message) {
        long sentAtMs = MonotonicClock.nowMs() - message.agoMs();
        reportedAnswers.merge(message.suspect(), sentAtMs, Math::max);
        if (quarantine.answered(message.suspect(), sentAtMs)) {
            LOG.infof("suspect cleared by another router suspect=%s", name(message.suspect()));
        }
    }

    /** The record to be stored: the crashes of what is quarantined. */
    QuarantineRecord currentRecord() {
        long nowMs = MonotonicClock.nowMs();
        List<Crash> crashes = quarantine.crashesOfQuarantined(nowMs);
        Map<Fingerprint, Long> answeredAgoMs = new HashMap<>();
        crashes.forEach(c ->
                quarantine.answeredAgoMs(c.suspect(), nowMs).ifPresent(agoMs -> answeredAgoMs.put(c.suspect(), agoMs)));
        return QuarantineRecord.of(crashes, answeredAgoMs, nowMs);
    }

    /** Whether a stored record blames something that answers have cleared since. */
    boolean refutes(QuarantineRecord record) {
        long nowMs = MonotonicClock.nowMs();
        return record.crashes(nowMs).stream().anyMatch(c -> quarantine.isRefuted(c, nowMs));
    }

    /** Applies the crashes of a stored record, and what speaks against them. */
    void restore(QuarantineRecord record) {
        long nowMs = MonotonicClock.nowMs();
        List<Crash> crashes = record.crashes(nowMs);
        Set<Fingerprint> unknown = crashes.stream()
                .map(Crash::suspect)
                .filter(s -> !quarantine.isSuspected(s))
                .collect(Collectors.toSet());
        record.answeredAgoMs().forEach((suspect, agoMs) -> quarantine.answered(suspect, nowMs - agoMs));
        recordCrashes(crashes);
        quarantine.inherit(unknown, nowMs);
    }

    /** Lifts every quarantine, after its record was removed. */
    void lift() {
        LOG.infof("quarantine lifted suspects=%d", bySuspect().size());
        quarantine.lift(MonotonicClock.nowMs());
    }

    /** What is quarantined and the targets that it crashed, for the state dump. */
    Map<String, Object> bySuspect() {
        Map<String, Object> out = new TreeMap<>();
        quarantine.crashesOfQuarantined(MonotonicClock.nowMs()).stream()
                .collect(Collectors.groupingBy(
                        c -> name(c.suspect()), Collectors.mapping(Crash::incarnation, Collectors.toList())))
                .forEach(out::put);
        return out;
    }
}
