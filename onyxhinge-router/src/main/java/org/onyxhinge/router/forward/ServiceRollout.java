package org.onyxhinge.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.onyxhinge.core.rollout.Rollout;
import org.onyxhinge.core.rollout.RolloutPhase;
import org.onyxhinge.core.rollout.ServiceVersions;
import org.onyxhinge.wire.peer.PeerMessage;

/**
 * The latest rollout of one service at this router: its versions, what the key-value service holds about it, and what
 * the other routers last reported.
 */
final class ServiceRollout {

    private static final Logger LOG = Logger.getLogger(ServiceRollout.class);

    /** A router that reports more seldom is silent. */
    private static final long MAX_REPORT_AGE_MS = 1_500;

    /**
     * Time within which the leading router writes an entry if it reaches the store. After that any router may write it.
     */
    private static final long LEADER_WRITE_TIMEOUT_MS = 1_500;

    private final String service;
    private final ServiceVersions versions = new ServiceVersions();
    private final Map<String, RolloutObserver.Usual> usualByRoute = new HashMap<>();
    private final Map<String, ReceivedReport> reports = new HashMap<>();
    private Optional<RolloutRecord> stored = Optional.empty();
    private long storedVersion;
    private Optional<RolloutStatus> storedStatus = Optional.empty();
    private long statusVersion;
    private Optional<RolloutPhase> proposed = Optional.empty();
    private long startedAtEpochMs;
    private long outdatedSinceMs = -1;

    private record ReceivedReport(PeerMessage.RolloutReport report, long atMs) {}

    ServiceRollout(String service) {
        this.service = service;
    }

    String service() {
        return service;
    }

    ServiceVersions versions() {
        return versions;
    }

    /** The latest rollout; empty if none was ordered. */
    Optional<Rollout> rollout() {
        return versions.rollout();
    }

    /** The latest rollout while it has not ended. */
    Optional<Rollout> active() {
        return rollout().filter(r -> !r.phase().isFinal());
    }

    /** Whether no rollout was ordered and the store holds nothing about one. */
    boolean isWithoutRollout() {
        return rollout().isEmpty() && stored.isEmpty() && storedStatus.isEmpty();
    }

    RolloutObserver.Usual usual(String route) {
        return usualByRoute.computeIfAbsent(route, r -> RolloutObserver.Usual.create());
    }

    void started(Rollout rollout) {
        versions.start(rollout);
        reports.clear();
        usualByRoute.clear();
        proposed = Optional.empty();
        startedAtEpochMs = System.currentTimeMillis();
    }

    void reported(PeerMessage.RolloutReport report, long nowMs) {
        reports.put(report.routerId(), new ReceivedReport(report, nowMs));
    }

    /** Whether a router has reported recently. */
    boolean hears(String routerId, long nowMs) {
        ReceivedReport last = reports.get(routerId);
        return last != null && nowMs - last.atMs() < MAX_REPORT_AGE_MS;
    }

    /** Whether a router has reported recently that none of its calls is left on an earlier version. */
    boolean isDrained(String routerId, long nowMs) {
        return hears(routerId, nowMs)
                && reports.get(routerId).report().phase() == RolloutPhase.PROMOTING
                && reports.get(routerId).report().replacedCalls() == 0;
    }

    /** Proposes a phase, which applies once it is recorded. */
    void propose(RolloutPhase phase) {
        proposed = Optional.of(phase);
    }

    /**
     * Applies the record as read from the store, or as written by this router.
     *
     * @return whether the phase has changed
     */
    boolean recordRead(RolloutRecord recorded, long version, long nowMs) {
        if (version < storedVersion) {
            return false;
        }
        stored = Optional.of(recorded);
        storedVersion = version;
        return applyStored(nowMs);
    }

    /** The record cannot be read; it will be replaced, which takes its version. */
    void recordUnreadable(long version) {
        if (version >= storedVersion) {
            stored = Optional.empty();
            storedVersion = version;
        }
    }

    /** The record was removed; it will be written again. */
    void recordRemoved() {
        stored = Optional.empty();
        storedVersion = 0;
    }

    /** Applies the stored record to the rollout it belongs to; returns whether the phase has changed. */
    boolean applyStored(long nowMs) {
        if (stored.isEmpty()) {
            return false;
        }
        RolloutRecord known = stored.get();
        versions.rejected(known.rejectedVersions());
        if (!ownsRecord()) {
            return false;
        }
        Rollout rollout = rollout().orElseThrow();
        startedAtEpochMs = Math.min(startedAtEpochMs, known.startedAtEpochMs());
        rollout.knownFor(System.currentTimeMillis() - known.startedAtEpochMs(), nowMs);
        proposed = proposed.filter(p -> p.isReachableFrom(known.phase()));
        if (known.phase() == rollout.phase()) {
            return false;
        }
        if (known.phase().isFinal() && rollout.phase().isFinal()) {
            LOG.warnf(
                    "rollout outcome replaced service=%s version=%s from=%s to=%s",
                    service, known.version(), rollout.phase(), known.phase());
            rollout.settle(known.phase());
            return true;
        }
        return rollout.advance(known.phase(), nowMs);
    }

    private boolean ownsRecord() {
        return stored.isPresent()
                && rollout().map(r -> r.order().id() == stored.get().orderId()).orElse(false);
    }

    void statusRead(RolloutStatus status, long version) {
        if (version >= statusVersion) {
            storedStatus = Optional.of(status);
            statusVersion = version;
        }
    }

    /** The state cannot be read; it will be replaced, which takes its version. */
    void statusUnreadable(long version) {
        if (version >= statusVersion) {
            storedStatus = Optional.empty();
            statusVersion = version;
        }
    }

    void statusRemoved() {
        storedStatus = Optional.empty();
        statusVersion = 0;
    }

    /**
     * Returns the entry that is to be written now.
     *
     * @param leads whether this router is the first to write
     */
    Optional<RolloutChange> nextChange(boolean leads, long nowMs) {
        Optional<RolloutChange> change = rollout().flatMap(this::outdatedEntry);
        if (change.isEmpty()) {
            outdatedSinceMs = -1;
            return change;
        }
        outdatedSinceMs = outdatedSinceMs < 0 ? nowMs : outdatedSinceMs;
        return change.filter(c -> leads || nowMs - outdatedSinceMs > LEADER_WRITE_TIMEOUT_MS);
    }

    private Optional<RolloutChange> outdatedEntry(Rollout rollout) {
        RolloutPhase phase =
                proposed.filter(p -> p.isReachableFrom(rollout.phase())).orElse(rollout.phase());
        if (stored.isPresent() && stored.get().orderId() > rollout.order().id()) {
            return Optional.empty();
        }
        if (!ownsRecord() || phase.isReachableFrom(stored.get().phase())) {
            RolloutRecord next = new RolloutRecord(
                    rollout.order().id(),
                    rollout.order().version(),
                    ownsRecord() || phase.isFinal() ? phase : RolloutPhase.TRIAL,
                    startedAtEpochMs,
                    versions.rejected());
            return Optional.of(new RolloutChange.Record(service, next.encode(), storedVersion));
        }
        RolloutStatus status =
                RolloutStatus.of(rollout.order().version(), stored.get().phase());
        return storedStatus.filter(status::equals).isPresent()
                ? Optional.empty()
                : Optional.of(new RolloutChange.Status(service, status, statusVersion));
    }
}
