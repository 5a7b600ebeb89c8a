package org.onyxhinge.core.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Decides for one router where calls go, which wait and which are refused. Targets run a bounded number
 * of requests at once and know no ranks, so nothing is sent beyond that bound and the router keeps the
 * queue, by rank. A call is refused at once when the queue says it would wait too long.
 *
 * <p>Not thread-safe: one thread owns it. Times are milliseconds of one monotonic clock.
 */
public final class Placement {

    /** A refused caller is asked to stay away at least this long, or it would meet the same queue. */
    private static final long SHORTEST_RETRY_MS = 300;

    /** Longest time to stay away: bursts last seconds, and callers' deadlines are a few of them. */
    private static final long LONGEST_RETRY_MS = 4_000;

    private static final long NO_TARGET_RETRY_MS = 1_000;
    private static final double MS_PER_SECOND = 1_000;
    /** Part of the drain rate that is always assumed left for a rank, so that an estimate stays finite. */
    private static final double LEAST_DRAIN_PART = 0.05;

    /** Part of the places' usual turnover that is counted on before ends have been seen. */
    private static final double CERTAIN_DRAIN_PART = 0.7;

    /**
     * A place left to a peer is kept for it so long. Of 20, 40 and 80 ms the middle one served most on the
     * simulated fleet's heaviest pattern: the peer has used it and said so, or it stands empty for little.
     */
    private static final long PLACE_LEFT_MS = 40;

    /**
     * The expected wait must be this many times too long before a call is refused at once. More urgent calls
     * arrive unevenly: on the simulated fleet's heaviest pattern 2 instead of 1 puts 1.6 % more of the most
     * valuable calls on time.
     */
    private static final long ESTIMATE_SLACK = 2;

    /** Enough for all targets of a large site to lapse at once; each takes less than a kilobyte. */
    private static final int DEPARTED_KEPT = 256;

    private final String dataCentre;
    private final PlacementSettings settings;
    private final Map<String, ServiceTargets> services = new HashMap<>();
    /** Registered targets by incarnation. */
    private final Map<String, TargetState> targets = new HashMap<>();
    /** Incarnation of each registered target by its id. */
    private final Map<String, String> incarnations = new HashMap<>();
    /** Targets that were registered before, by incarnation, the one that left last at the end. */
    private final Map<String, TargetState> departed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TargetState> eldest) {
            return size() > DEPARTED_KEPT;
        }
    };

    private final Map<String, WaitingCalls> waiting = new HashMap<>();
    private final Map<String, Rate> drained = new HashMap<>();
    private final Map<String, Map<Integer, Rate>> arrivals = new HashMap<>();
    private final Map<String, Map<String, TargetUse>> peerUses = new HashMap<>();
    private final Map<String, Map<String, PeerDemand>> peerDemands = new HashMap<>();
    private final BiConsumer<String, String> placeLeft;

    private Placement(String dataCentre, PlacementSettings settings, BiConsumer<String, String> placeLeft) {
        this.dataCentre = dataCentre;
        this.settings = settings;
        this.placeLeft = placeLeft;
    }

    /** Creates a placement without targets and without peers, for a router in {@code dataCentre}. */
    public static Placement create(String dataCentre) {
        return create(dataCentre, PlacementSettings.defaults(), (peer, target) -> {});
    }

    /**
     * Creates a placement without targets.
     *
     * @param placeLeft told when a place is left to a peer: the peer's id and the target's incarnation
     */
    public static Placement create(
            String dataCentre, PlacementSettings settings, BiConsumer<String, String> placeLeft) {
        return new Placement(dataCentre, settings, placeLeft);
    }

    /** Takes a registry entry in: a new target, another start of one, one that is back, or a change of a known one. */
    public void targetSeen(Target info) {
        TargetState known = targets.get(info.incarnation());
        if (known != null && known.service().name().equals(info.service())) {
            known.update(info);
            return;
        }
        targetGone(info.id());
        TargetState state = Optional.ofNullable(departed.remove(info.incarnation()))
                .filter(d -> d.service().name().equals(info.service()))
                .orElseGet(() -> newTarget(info));
        state.update(info);
        state.service().targets().add(state);
        targets.put(state.incarnation(), state);
        incarnations.put(info.id(), state.incarnation());
        Map<String, TargetUse> uses = new HashMap<>();
        peerUses.forEach((peer, all) -> {
            if (all.containsKey(state.incarnation())) {
                uses.put(peer, all.get(state.incarnation()));
            }
        });
        state.peerUses(uses);
    }

    private TargetState newTarget(Target info) {
        ServiceTargets service = services.computeIfAbsent(
                info.service(), s -> new ServiceTargets(s, dataCentre, settings.learnedPace()));
        return new TargetState(service, info);
    }

    /**
     * Takes out a target that is no longer registered; calls that run there go on. What is known of it is kept for
     * when it is back: a registration can lapse, or be overwritten by mistake, while its target runs.
     */
    public void targetGone(String id) {
        TargetState known = targets.remove(incarnations.getOrDefault(id, id));
        incarnations.remove(id);
        if (known != null) {
            known.markGone();
            known.service().targets().remove(known);
            departed.put(known.incarnation(), known);
        }
    }

    /** Every target, for dumps and for the peers. */
    public Collection<TargetState> targets() {
        return targets.values();
    }

    /** A registered target by its incarnation. */
    public Optional<TargetState> target(String incarnation) {
        return Optional.ofNullable(targets.get(incarnation));
    }

    /** Takes in what a peer has running, in place of what it said before; empty once it is gone. */
    public void peerUses(String peer, Map<String, TargetUse> uses) {
        Map<String, TargetUse> before = uses.isEmpty() ? peerUses.remove(peer) : peerUses.put(peer, uses);
        if (before != null) {
            Set<String> dropped = new java.util.HashSet<>(before.keySet());
            dropped.removeAll(uses.keySet());
            dropped.forEach(id -> target(id).ifPresent(t -> t.peerUse(peer, null)));
        }
        uses.forEach((id, use) -> target(id).ifPresent(t -> t.peerUse(peer, use)));
    }

    /** Takes in how many calls wait at a peer, by service and rank, in place of what it said before. */
    public void peerWaiting(String peer, Map<String, Map<Integer, Integer>> waitingByService) {
        peerDemands.forEach((service, demands) -> {
            if (!waitingByService.containsKey(service)) {
                demands.remove(peer);
            }
        });
        waitingByService.forEach((service, ranks) -> peerDemands
                .computeIfAbsent(service, s -> new HashMap<>())
                .merge(peer, PeerDemand.of(ranks), (before, fresh) -> before.now(ranks)));
    }

    /** Notes that a peer leaves a place at a target to this router's more urgent calls. */
    public void placeOffered(String incarnation, long nowMs) {
        target(incarnation).ifPresent(t -> t.leftToUs(nowMs + PLACE_LEFT_MS));
    }

    /** Calls that wait here, by service and rank, for the peers. */
    public Map<String, Map<Integer, Integer>> waitingByRank() {
        Map<String, Map<Integer, Integer>> out = new HashMap<>();
        waiting.forEach((service, queue) -> {
            if (!queue.isEmpty()) {
                out.put(service, queue.countByRank());
            }
        });
        return out;
    }

    /** A call that arrives: it is sent, waits, or is refused at once. */
    public Verdict submit(Call call, long nowMs) {
        ServiceTargets service = services.get(call.service());
        if (service == null || !service.anyTakesCalls()) {
            return new Verdict.Refuse(call, Verdict.Reason.NO_TARGET, NO_TARGET_RETRY_MS);
        }
        arrivalRate(call).event(nowMs);
        WaitingCalls queue = queue(call.service());
        if (queue.ahead(call.rank(), c -> true) == 0) {
            Optional<TargetState> free = place(service, call, nowMs);
            if (free.isPresent()) {
                return send(call, free.get(), nowMs);
            }
        }
        long waitMs = expectedWaitMs(call, nowMs);
        if (settings.refuseEarly() && nowMs + waitMs / ESTIMATE_SLACK > call.holdUntilMs()) {
            return new Verdict.Refuse(call, Verdict.Reason.BUSY, retryAfterMs(waitMs));
        }
        queue.add(call);
        return new Verdict.Wait(call);
    }

    /** Sends what there is room for now and refuses what has waited too long. */
    public List<Verdict> pump(long nowMs) {
        List<Verdict> out = new ArrayList<>();
        waiting.forEach((name, queue) -> pump(services.get(name), queue, nowMs, out));
        return out;
    }

    private void pump(ServiceTargets service, WaitingCalls queue, long nowMs, List<Verdict> out) {
        for (Call call : queue.take(c -> nowMs >= c.holdUntilMs())) {
            long waitMs = expectedWaitMs(call, nowMs);
            out.add(new Verdict.Refuse(call, Verdict.Reason.WAITED, retryAfterMs(waitMs)));
        }
        if (queue.isEmpty() || !service.anyRoom(nowMs)) {
            return;
        }
        for (Call call : queue.inOrder(c -> service.canBeOnTime(c, nowMs))) {
            Optional<TargetState> free = place(service, call, nowMs);
            if (free.isPresent()) {
                queue.remove(call);
                out.add(send(call, free.get(), nowMs));
            } else if (call.avoid().isEmpty()) {
                return;
            }
        }
    }

    /** The best free place for a call, once what is free has been left to peers whose calls are more urgent. */
    private Optional<TargetState> place(ServiceTargets service, Call call, long nowMs) {
        Optional<TargetState> free = service.best(call, nowMs);
        while (free.isPresent() && leaveToPeer(service.name(), call.rank(), free.get(), nowMs)) {
            free = service.best(call, nowMs);
        }
        return free;
    }

    /**
     * Routers see each other's calls late, so that a place that falls free is taken by the router whose call
     * ended there, whatever waits elsewhere. It is kept free for the peer that needs it most instead.
     */
    private boolean leaveToPeer(String service, int rank, TargetState target, long nowMs) {
        if (!settings.handOver()) {
            return false;
        }
        String neediest = null;
        PeerDemand need = null;
        for (Map.Entry<String, PeerDemand> e :
                peerDemands.getOrDefault(service, Map.of()).entrySet()) {
            PeerDemand d = e.getValue();
            if (d.unservedAbove(rank, nowMs) > 0 && (need == null || d.firstRank() < need.firstRank())) {
                neediest = e.getKey();
                need = d;
            }
        }
        if (need == null) {
            return false;
        }
        need.placeLeft(nowMs + PLACE_LEFT_MS);
        target.leaveToPeer(nowMs + PLACE_LEFT_MS);
        placeLeft.accept(neediest, target.incarnation());
        return true;
    }

    /** Takes a waiting call out: its caller has left. */
    public void withdraw(Call call) {
        queue(call.service()).remove(call);
    }

    /**
     * Notes the first byte of an answer.
     *
     * @param tookMs time since the call was sent
     * @param tokensToRead prompt tokens to be read before it when it was sent, its own included
     */
    public void firstByte(Call call, TargetState target, double tookMs, long tokensToRead) {
        target.learnFirstByte(tookMs, call.promptTokens() == 0 ? 0 : tokensToRead);
        target.prefilled(call);
    }

    /**
     * Notes that a call is over at a target.
     *
     * @param prefilled whether {@link #firstByte} was called for it
     */
    public void ended(Call call, TargetState target, boolean prefilled, long nowMs) {
        if (!prefilled) {
            target.prefilled(call);
        }
        target.ended();
        drainRate(call.service()).event(nowMs);
    }

    /** Notes that a target answered. */
    public void answered(TargetState target, boolean good, long nowMs) {
        target.health().answered(good, nowMs);
    }

    /** Notes bytes of an answer in progress. */
    public void heard(TargetState target, long nowMs) {
        target.health().heard(nowMs);
    }

    /** Notes that a call broke off at a target. */
    public void broken(TargetState target) {
        target.health().broken();
    }

    /** Notes that a target could not be reached, or has fallen silent. */
    public void unreachable(TargetState target, long nowMs) {
        target.health().unreachable(nowMs);
    }

    /** Notes that a target turned a call away as full: its own queue is longer than what is known here. */
    public void shed(TargetState target, long nowMs) {
        target.health().shed(nowMs);
    }

    /** When bytes last came from a target; 0 for never. */
    public long heardAtMs(TargetState target) {
        return target.health().heardAtMs();
    }

    /** Calls waiting, by service, for dumps. */
    public Map<String, Integer> waitingByService() {
        Map<String, Integer> out = new TreeMap<>();
        waiting.forEach((name, queue) -> out.put(name, queue.size()));
        return out;
    }

    private Verdict send(Call call, TargetState target, long nowMs) {
        target.started(call);
        return new Verdict.Send(call, target);
    }

    /**
     * How long a call would wait: those ahead of it here and at the peers over the rate at which places fall free
     * for all routers, less what arrivals of more urgent ranks will take meanwhile. Peers are taken to see the
     * same arrivals and ends as this router.
     */
    private long expectedWaitMs(Call call, long nowMs) {
        int routers = peerUses.size() + 1;
        double drain = Math.max(drainRate(call.service()).perSecond(nowMs) * routers, fullDrainPerSecond(call));
        double urgent = 0;
        for (Map.Entry<Integer, Rate> e : arrivals.get(call.service()).entrySet()) {
            urgent += e.getKey() < call.rank() ? e.getValue().perSecond(nowMs) * routers : 0;
        }
        double left = Math.max(drain - urgent, drain * LEAST_DRAIN_PART);
        ServiceTargets service = services.get(call.service());
        int ahead = queue(call.service()).ahead(call.rank(), c -> service.canBeOnTime(c, nowMs));
        for (PeerDemand d : peerDemands.getOrDefault(call.service(), Map.of()).values()) {
            ahead += d.waitingUpTo(call.rank());
        }
        return (long) ((ahead + 1) / left * MS_PER_SECOND);
    }

    /** How often a place falls free while all are taken. */
    private double fullDrainPerSecond(Call call) {
        ServiceTargets service = services.get(call.service());
        return CERTAIN_DRAIN_PART * service.slots() * MS_PER_SECOND / service.usualMs(call);
    }

    private static long retryAfterMs(long waitMs) {
        return Math.max(SHORTEST_RETRY_MS, Math.min(LONGEST_RETRY_MS, waitMs));
    }

    private WaitingCalls queue(String service) {
        return waiting.computeIfAbsent(service, s -> new WaitingCalls());
    }

    private Rate drainRate(String service) {
        return drained.computeIfAbsent(service, s -> new Rate());
    }

    private Rate arrivalRate(Call call) {
        return arrivals.computeIfAbsent(call.service(), s -> new TreeMap<>())
                .computeIfAbsent(call.rank(), r -> new Rate());
    }
}
