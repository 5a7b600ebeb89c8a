package org.onyxhinge.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;
import org.onyxhinge.core.place.Call;
import org.onyxhinge.core.place.Placement;
import org.onyxhinge.core.place.Target;
import org.onyxhinge.core.place.TargetRole;
import org.onyxhinge.core.place.TargetState;
import org.onyxhinge.core.place.Verdict;
import org.onyxhinge.core.rollout.AnswerCell;
import org.onyxhinge.core.rollout.AnswerCount;
import org.onyxhinge.core.rollout.Rollout;
import org.onyxhinge.core.rollout.RolloutDecision;
import org.onyxhinge.core.rollout.RolloutFleet;
import org.onyxhinge.core.rollout.RolloutOrder;
import org.onyxhinge.core.rollout.RolloutPhase;
import org.onyxhinge.core.rollout.RolloutStep;
import org.onyxhinge.core.route.CallKind;
import org.onyxhinge.core.route.Route;
import org.onyxhinge.wire.MonotonicClock;
import org.onyxhinge.wire.kv.KvRevision;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * The rollouts that this router takes part in. The routers report what they count to a few of them; each of these rolls
 * a version back at once, and tells all others, when it sees enough bad answers. The other steps apply once they are
 * recorded in the key-value service.
 */
final class Rollouts {

    private static final Logger LOG = Logger.getLogger(Rollouts.class);

    private static final long WAIT_LOG_INTERVAL_MS = 2_000;

    /** After this time without the store, a router sends nothing to a version on trial unless it hears its peers. */
    private static final long MAX_CONFIRMATION_AGE_MS = 2_000;

    private static final double MIN_HEARD_PART = 0.5;

    /** A starting router may not have learned of the promotion before this time. */
    private static final long MIN_PROMOTED_MS = 1_000;

    /** After this time without the store a router begins no calls. */
    private static final long MAX_UNCONFIRMED_MS = 3_500;

    private final Forwarder forwarder;
    private final Placement placement;
    private final ForwardingMetrics metrics;
    private final RolloutSettings settings;
    private final Map<String, ServiceRollout> services = new HashMap<>();
    private final RolloutReporter reporter;
    private long lastWaitLogAtMs;

    Rollouts(Forwarder forwarder, RolloutSettings settings) {
        this.forwarder = forwarder;
        this.placement = forwarder.placement();
        this.metrics = forwarder.metrics();
        this.settings = settings;
        this.reporter = new RolloutReporter(forwarder);
    }

    private RouterPeers peers() {
        return forwarder.peers();
    }

    private ServiceRollout service(String name) {
        return services.computeIfAbsent(name, ServiceRollout::new);
    }

    /** Forgets the services that are not configured, have no registered target and nothing in the store. */
    void retain(Set<String> configured) {
        services.values().removeIf(s -> {
            boolean gone =
                    !configured.contains(s.service()) && !placement.hasTargets(s.service()) && s.isWithoutRollout();
            if (gone) {
                placement.versionRolesRemoved(s.service());
            }
            return gone;
        });
    }

    /** Records the version of a registered target. */
    void targetSeen(Target target) {
        long nowMs = MonotonicClock.nowMs();
        ServiceRollout s = service(target.service());
        s.versions().seen(target.version(), forwarder.activeConfig().isEmpty(), nowMs);
        if (s.rollout().isPresent() || s.versions().changesWithTime(nowMs)) {
            applyRoles(s);
        }
    }

    private void applyRoles(ServiceRollout s) {
        Predicate<String> hasTargets = version -> placement.targetCount(s.service(), version) > 0;
        placement.versionRoles(
                s.service(), version -> s.versions().roleOf(version, hasTargets, MonotonicClock.nowMs()));
        forwarder.pumpSoon();
    }

    /** Applies an operator's order. */
    void ordered(RolloutOrder order) {
        ServiceRollout s = service(order.service());
        if (s.rollout().map(r -> order.id() <= r.order().id()).orElse(false)) {
            return;
        }
        if (s.rollout().filter(r -> isSameAfterRestore(r.order(), order)).isPresent()) {
            LOG.infof(
                    "rollout order restored service=%s version=%s order=%d",
                    order.service(), order.version(), order.id());
            s.rollout().orElseThrow().renew(order);
            return;
        }
        long nowMs = MonotonicClock.nowMs();
        boolean live = forwarder.activeConfig().isPresent();
        LOG.infof(
                "rollout ordered service=%s version=%s durationMs=%d order=%d live=%b",
                order.service(), order.version(), order.durationMs(), order.id(), live);
        boolean repeated =
                s.active().map(r -> r.order().version().equals(order.version())).orElse(false);
        if (repeated) {
            s.rollout().orElseThrow().renew(order);
        } else {
            s.started(Rollout.start(order, settings.limits(), live ? forwarder.routers() : 0, nowMs));
        }
        if (s.applyStored(nowMs)) {
            phaseChanged(s, "recorded");
        }
        applyRoles(s);
    }

    /** Whether an order has another id only because the store that holds it was restored from a copy. */
    private static boolean isSameAfterRestore(RolloutOrder before, RolloutOrder now) {
        return KvRevision.epoch(now.id()) > KvRevision.epoch(before.id())
                && now.version().equals(before.version())
                && now.durationMs() == before.durationMs();
    }

    /** Handles the removal of an order: a rollout that has not ended is rolled back. */
    void orderRemoved(String serviceName) {
        ServiceRollout s = service(serviceName);
        if (s.active().isPresent()) {
            advance(s, RolloutPhase.ROLLED_BACK, "order removed");
        }
    }

    /** Applies a record read from the store, or written by this router. */
    void recordRead(String serviceName, RolloutRecord recorded, long version) {
        ServiceRollout s = service(serviceName);
        if (s.recordRead(recorded, version, MonotonicClock.nowMs())) {
            phaseChanged(s, "recorded");
        }
        applyRoles(s);
    }

    /** Handles a record that cannot be read: the next one replaces it. */
    void recordUnreadable(String serviceName, long version) {
        service(serviceName).recordUnreadable(version);
    }

    void statusUnreadable(String serviceName, long version) {
        service(serviceName).statusUnreadable(version);
    }

    void recordRemoved(String serviceName) {
        service(serviceName).recordRemoved();
    }

    void statusRead(String serviceName, RolloutStatus status, long version) {
        service(serviceName).statusRead(status, version);
    }

    void statusRemoved(String serviceName) {
        service(serviceName).statusRemoved();
    }

    /** Entries that this router should write to the store now. */
    List<RolloutChange> nextChanges() {
        List<RolloutChange> out = new ArrayList<>();
        services.values()
                .forEach(s -> s.nextChange(peers().hasLowestLiveId(), MonotonicClock.nowMs())
                        .ifPresent(out::add));
        return out;
    }

    /** Tells the other routers of a phase that this one has recorded. */
    void recorded(String serviceName) {
        broadcastPhase(service(serviceName));
    }

    /** Places a call on a version on trial if the limits of the trial allow it. */
    Optional<Verdict.Send> submitTrial(Call call, Route route, long nowMs) {
        ServiceRollout s = services.get(call.service());
        if (s == null || s.active().isEmpty()) {
            return Optional.empty();
        }
        Rollout rollout = s.active().get();
        double expectedMs = route.kind() == CallKind.IDEMPOTENT ? 0 : placement.expectedMs(call);
        if (call.version().filter(v -> !v.equals(rollout.order().version())).isPresent()) {
            return Optional.empty();
        }
        if (!rollout.permitsTrial(route.name(), expectedMs, nowMs) || !isInformed()) {
            return Optional.empty();
        }
        Optional<Verdict.Send> sent = placement.submitTrial(call, nowMs);
        sent.ifPresent(v -> {
            rollout.exposed(route.name());
            metrics.event("rollouts.trial_calls");
        });
        return sent;
    }

    /** Whether this router would soon learn that a version was rolled back elsewhere. */
    private boolean isInformed() {
        return forwarder.confirmedWithin(MAX_CONFIRMATION_AGE_MS) || peers().heardPart() >= MIN_HEARD_PART;
    }

    /** Records the first send of a call to a service. */
    void callSent(String serviceName, String route) {
        ServiceRollout s = services.get(serviceName);
        if (s != null) {
            s.active().ifPresent(r -> r.callSent(route));
        }
    }

    /** Returns the observer of an attempt: none unless the service is being moved to another version. */
    AnswerObserver observe(String route, Call call, TargetState target) {
        ServiceRollout s = services.get(call.service());
        if (s == null || s.active().isEmpty()) {
            return AnswerObserver.NONE;
        }
        Rollout rollout = s.active().get();
        boolean trial = target.info().version().equals(rollout.order().version());
        AnswerCell cell = new AnswerCell(route, target.incarnation(), trial);
        double prefillMs = call.promptTokens() * placement.prefillMsPerToken(call.service());
        return new RolloutObserver(s.usual(route), trial, prefillMs, bad -> {
            rollout.answered(cell, bad);
            metrics.event("rollouts.answers." + (trial ? "new" : "old") + (bad ? ".bad" : ".good"));
        });
    }

    /** Takes the steps that are due and reports to the other routers; called periodically. */
    void sweep(long nowMs) {
        for (ServiceRollout s : services.values()) {
            if (s.active().isPresent()) {
                decide(s, s.active().get(), nowMs);
            } else if (s.versions().changesWithTime(nowMs)) {
                applyRoles(s);
            }
        }
        reporter.report(services.values(), nowMs);
    }

    private void decide(ServiceRollout s, Rollout rollout, long nowMs) {
        long longestCallMs = forwarder.longestCallMs(s.service());
        RolloutFleet fleet = new RolloutFleet(
                peers().hasLowestLiveId(),
                reporter.isReceiver(),
                placement.targetCount(s.service(), rollout.order().version()),
                placement.slots(s.service(), TargetRole.TRIAL),
                placement.slots(s.service(), TargetRole.SERVING),
                isDrained(s, rollout, longestCallMs, nowMs));
        if (fleet.leads() && rollout.phase() == RolloutPhase.PROMOTING && !fleet.drained()) {
            logWaiting(s, rollout, nowMs);
        }
        rollout.decide(fleet, longestCallMs, nowMs).ifPresent(d -> take(s, rollout, d));
        if (rollout.movesCalls(nowMs)) {
            forwarder.calls().moveOff(s.service(), TargetRole.REPLACED);
            forwarder.calls().moveOff(s.service(), TargetRole.WITHHELD);
        }
    }

    private void logWaiting(ServiceRollout s, Rollout rollout, long nowMs) {
        if (nowMs - lastWaitLogAtMs > WAIT_LOG_INTERVAL_MS) {
            lastWaitLogAtMs = nowMs;
            LOG.infof(
                    "rollout waits service=%s version=%s promotedForMs=%d ownReplacedCalls=%d notDrained=%s",
                    s.service(),
                    rollout.order().version(),
                    rollout.promotedForMs(nowMs),
                    forwarder.calls().countOnReplaced(s.service()),
                    peers().expectedIds().stream()
                            .filter(id -> !s.isDrained(id, nowMs))
                            .sorted()
                            .toList());
        }
    }

    private void take(ServiceRollout s, Rollout rollout, RolloutDecision decision) {
        RolloutPhase next = rollout.phase().after(decision.step()).orElseThrow();
        if (decision.step() == RolloutStep.ROLL_BACK || !settings.recorded()) {
            advance(s, next, decision.reason());
        } else {
            s.propose(next);
        }
    }

    private void advance(ServiceRollout s, RolloutPhase next, String reason) {
        if (s.rollout().orElseThrow().advance(next, MonotonicClock.nowMs())) {
            phaseChanged(s, reason);
            broadcastPhase(s);
        }
    }

    private void phaseChanged(ServiceRollout s, String reason) {
        Rollout r = s.rollout().orElseThrow();
        AnswerCount trial = r.answers(true);
        AnswerCount usual = r.answers(false);
        LOG.infof(
                "rollout phase service=%s version=%s order=%d phase=%s why=\"%s\" ageMs=%d trialAnswers=%d trialBad=%d"
                        + " usualAnswers=%d usualBad=%d ownCalls=%d ownTrialCalls=%d",
                s.service(),
                r.order().version(),
                r.order().id(),
                r.phase(),
                reason,
                r.ageMs(MonotonicClock.nowMs()),
                trial.answers(),
                trial.bad(),
                usual.answers(),
                usual.bad(),
                r.calls(),
                r.exposedCalls());
        metrics.event("rollouts." + r.phase().name().toLowerCase(java.util.Locale.ROOT));
        s.versions().rolloutEnded(r);
        applyRoles(s);
    }

    private void broadcastPhase(ServiceRollout s) {
        s.rollout().map(r -> phaseMessage(s, r)).ifPresent(peers()::broadcast);
    }

    private static PeerMessage.RolloutUpdate phaseMessage(ServiceRollout s, Rollout r) {
        return new PeerMessage.RolloutUpdate(s.service(), r.order().id(), r.phase(), r.ageMs(MonotonicClock.nowMs()));
    }

    /** The phases of all rollouts, for a router that may not know them. */
    List<PeerMessage.RolloutUpdate> phases() {
        return services.values().stream()
                .flatMap(s -> s.rollout().map(r -> phaseMessage(s, r)).stream())
                .toList();
    }

    /** Applies another router's phase. */
    void receive(PeerMessage.RolloutUpdate update) {
        applyPeerPhase(update.service(), update.orderId(), update.phase(), update.ageMs());
    }

    private Optional<ServiceRollout> applyPeerPhase(String serviceName, long orderId, RolloutPhase phase, long ageMs) {
        Optional<ServiceRollout> known = Optional.ofNullable(services.get(serviceName))
                .filter(s -> s.rollout().map(r -> r.order().id() == orderId).orElse(false));
        known.ifPresent(s -> {
            long nowMs = MonotonicClock.nowMs();
            Rollout r = s.rollout().orElseThrow();
            r.knownFor(ageMs, nowMs);
            if (r.advance(phase, nowMs)) {
                phaseChanged(s, "heard");
            }
        });
        return known;
    }

    /** Applies the answers counted by another router. */
    void receive(PeerMessage.RolloutReport report) {
        applyPeerPhase(report.service(), report.orderId(), report.phase(), report.ageMs())
                .ifPresent(s -> {
                    s.reported(report, MonotonicClock.nowMs());
                    Map<AnswerCell, AnswerCount> counts = new HashMap<>();
                    report.answers().forEach(a -> counts.put(a.cell(), a.count()));
                    s.rollout().orElseThrow().peerCounts(report.routerId() + "#" + report.startId(), counts);
                });
    }

    /** Whether no router has a call on a replaced version, or can begin one. */
    private boolean isDrained(ServiceRollout s, Rollout rollout, long longestCallMs, long nowMs) {
        if (rollout.promotedForMs(nowMs) < MIN_PROMOTED_MS || forwarder.calls().countOnReplaced(s.service()) > 0) {
            return false;
        }
        boolean silentAreDrained = rollout.promotedForMs(nowMs) > MAX_UNCONFIRMED_MS + longestCallMs;
        Set<String> expected = new HashSet<>(peers().expectedIds());
        expected.removeIf(id -> s.isDrained(id, nowMs) || silentAreDrained && !s.hears(id, nowMs));
        return expected.isEmpty();
    }

    /** The rollouts by service, for the state dump. */
    JsonObject dump(long nowMs) {
        JsonObject out = new JsonObject();
        services.forEach((name, s) -> s.rollout().ifPresent(r -> {
            AnswerCount trial = r.answers(true);
            AnswerCount usual = r.answers(false);
            out.put(
                    name,
                    new JsonObject()
                            .put("version", r.order().version())
                            .put("order", r.order().id())
                            .put("phase", r.phase().name())
                            .put("ageMs", r.ageMs(nowMs))
                            .put("calls", r.calls())
                            .put("trialCalls", r.exposedCalls())
                            .put("trialAnswers", trial.answers())
                            .put("trialBad", trial.bad())
                            .put("usualAnswers", usual.answers())
                            .put("usualBad", usual.bad())
                            .put("replacedCalls", forwarder.calls().countOnReplaced(name)));
        }));
        return out;
    }
}
