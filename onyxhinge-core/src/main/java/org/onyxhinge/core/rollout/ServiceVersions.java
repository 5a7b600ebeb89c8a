package org.onyxhinge.core.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.onyxhinge.core.collect.BoundedMap;
import org.onyxhinge.core.place.TargetRole;

/** Decides which versions of one service get calls. Not thread-safe. */
public final class ServiceVersions {

    /**
     * How long a version that appears without an order gets no calls while another version serves: the order may be
     * read after the first registration.
     */
    private static final long UNORDERED_HOLD_MS = 1_000;

    /** Far more versions than have registered targets at a time. */
    static final int MAX_VERSIONS = 1_024;

    private final Map<String, Long> firstSeenAtMs = BoundedMap.dropLeastRecentlyUsed(MAX_VERSIONS);
    private final Set<String> rejected = Collections.newSetFromMap(BoundedMap.dropOldest(MAX_VERSIONS));
    private final Set<String> replaced = Collections.newSetFromMap(BoundedMap.dropOldest(MAX_VERSIONS));
    private Optional<Rollout> rollout = Optional.empty();

    /**
     * Records that a target with a version is registered.
     *
     * @param known whether the version was registered before this router started to follow the registry
     */
    public void seen(String version, boolean known, long nowMs) {
        firstSeenAtMs.putIfAbsent(version, known ? nowMs - UNORDERED_HOLD_MS : nowMs);
        boolean leftOver = known
                && rollout.map(r -> r.phase() == RolloutPhase.COMPLETED
                                && !version.equals(r.order().version()))
                        .orElse(false);
        if (leftOver) {
            replaced.add(version);
        }
    }

    /** Number of versions that are kept, those that were replaced or rejected included. */
    int size() {
        return firstSeenAtMs.size() + rejected.size() + replaced.size();
    }

    /** The latest rollout. */
    public Optional<Rollout> rollout() {
        return rollout;
    }

    /** Starts a rollout. An earlier one that has not ended is abandoned and its version rejected. */
    public void start(Rollout next) {
        rollout.filter(r -> !r.phase().isFinal())
                .ifPresent(r -> rejected.add(r.order().version()));
        rollout = Optional.of(next);
        rejected.remove(next.order().version());
        replaced.remove(next.order().version());
    }

    /** Versions that were rolled back. */
    public Set<String> rejected() {
        return Set.copyOf(rejected);
    }

    /** Adds versions that were rolled back before this router started. */
    public void rejected(Set<String> versions) {
        rejected.addAll(versions);
    }

    /** Applies the end of the latest rollout to the versions known now. */
    public void rolloutEnded(Rollout ended) {
        String version = ended.order().version();
        if (ended.phase() == RolloutPhase.ROLLED_BACK) {
            rejected.add(version);
        } else if (ended.phase() == RolloutPhase.COMPLETED) {
            replaced.addAll(firstSeenAtMs.keySet());
            replaced.remove(version);
        }
    }

    /**
     * Which calls the targets with a version get.
     *
     * @param hasTargets whether a version has targets that could serve
     */
    public TargetRole roleOf(String version, Predicate<String> hasTargets, long nowMs) {
        if (rejected.contains(version) || replaced.contains(version)) {
            return TargetRole.WITHHELD;
        }
        if (rollout.isPresent() && !rollout.get().phase().isFinal()) {
            boolean ordered = version.equals(rollout.get().order().version());
            if (rollout.get().phase() == RolloutPhase.TRIAL) {
                return ordered ? TargetRole.TRIAL : TargetRole.SERVING;
            }
            return ordered ? TargetRole.SERVING : TargetRole.REPLACED;
        }
        boolean current = rollout.map(r -> version.equals(r.order().version())).orElse(false);
        boolean held =
                !current && isNew(firstSeenAtMs.get(version), nowMs) && anotherServes(version, hasTargets, nowMs);
        return held ? TargetRole.WITHHELD : TargetRole.SERVING;
    }

    private static boolean isNew(Long seenAtMs, long nowMs) {
        return seenAtMs != null && nowMs - seenAtMs < UNORDERED_HOLD_MS;
    }

    private boolean anotherServes(String version, Predicate<String> hasTargets, long nowMs) {
        return firstSeenAtMs.entrySet().stream()
                .filter(e -> !isNew(e.getValue(), nowMs))
                .map(Map.Entry::getKey)
                .anyMatch(other -> !other.equals(version)
                        && !rejected.contains(other)
                        && !replaced.contains(other)
                        && hasTargets.test(other));
    }

    /** Whether a role may change with time alone. */
    public boolean changesWithTime(long nowMs) {
        return firstSeenAtMs.size() > 1
                && firstSeenAtMs.values().stream().anyMatch(at -> nowMs - at < 2 * UNORDERED_HOLD_MS);
    }
}
